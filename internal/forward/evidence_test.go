package forward

import (
	"net/http"
	"testing"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// TestEvidenceNamesTheRefusingAnswer checks that logs and dumps can tell, for one ID, which answer made
// an attempt count as not run.
func TestEvidenceNamesTheRefusingAnswer(t *testing.T) {
	f := newFakeUpstream(t, responds, sheds)
	f.always = sheds
	ended := make(chan Outcome, 2)
	e := newEntryWith(t, func(o *Options) { o.Observe = func(out Outcome) { ended <- out } }, []*fakeUpstream{f},
		tree.Edit{Path: "/services/orders", Key: tree.KeyAttempts, Value: "1"})
	e.send(t, http.MethodPost, "/a", "")
	e.send(t, http.MethodPost, "/b", "", header.RequestID, "order-7")
	first, second := <-ended, <-ended
	if len(first.Evidence) != 0 || len(second.Evidence) == 0 {
		t.Fatalf("evidence %v and %v, want some for the second request alone", first.Evidence, second.Evidence)
	}
	got := second.Evidence[0]
	if got.Upstream != "u0" || got.Connection == "" || got.Ordinal != 2 || got.Status != http.StatusTooManyRequests || !got.Identified {
		t.Errorf("evidence %v", got)
	}
	kept := e.Refusals()
	if len(kept) != 1 || kept[0].ID != "order-7" || kept[0].Evidence[0] != got {
		t.Errorf("refusals %+v, want that of order-7", kept)
	}
	if n := e.RefusalCounts(); n.Identified < 1 {
		t.Errorf("counts %+v", n)
	}
}
