package node

import (
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// TestNodeWithoutRegistrationIsNoMember guards against requests to cold and limited upstreams from a
// node that the others no longer count. During an outage of the store they count it by its reports.
func TestNodeWithoutRegistrationIsNoMember(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, tt := range []struct {
		name              string
		left              time.Duration
		counted, stopping bool
		want              bool
	}{
		{"registered", time.Second, false, false, true},
		{"registration ended", 0, false, false, false},
		{"registration ended, reports arrive", 0, true, false, true},
		{"stopping", time.Second, true, true, false},
	} {
		n := largeNode()
		n.stopping.Store(tt.stopping)
		n.SetRegistration(func() model.Registration { return model.Registration{Since: now, Until: now.Add(tt.left)} })
		n.SetCountedByMost(func(time.Time) bool { return tt.counted })
		if got, _ := n.isMember(now); got != tt.want {
			t.Errorf("%s: member %v, want %v", tt.name, got, tt.want)
		}
	}
}
