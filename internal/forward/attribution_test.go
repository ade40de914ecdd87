package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
)

// TestUnnamedRefusalOnAUsedConnectionIsNotBelieved guards against a late copy of a refusal that names no
// request. The next order gets a new connection, on which a refusal can belong to no other request.
func TestUnnamedRefusalOnAUsedConnectionIsNotBelieved(t *testing.T) {
	f := newFakeUpstream(t, responds, shedsUnnamed, shedsUnnamed, responds)
	e := newEntry(t, []*fakeUpstream{f})
	for i, want := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		got := e.send(t, http.MethodPost, "/x", "", header.RequestID, fmt.Sprint("order-", i))
		for got.status == http.StatusServiceUnavailable {
			// The upstream gets no requests for a moment after it has refused one.
			time.Sleep(10 * time.Millisecond)
			got = e.send(t, http.MethodPost, "/x", "", header.RequestID, fmt.Sprint("order-", i))
		}
		if got.status != want {
			t.Errorf("order %d: status %d, want %d", i, got.status, want)
		}
	}
	if got, want := e.RefusalCounts(), (RefusalCounts{First: 1, Later: 1}); got != want {
		t.Errorf("refusals %+v, want %+v", got, want)
	}
}
