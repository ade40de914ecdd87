package forward

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/rollout"
)

// newRolloutFixture is a regionFixture in which muscat-b is the only upstream of a new version.
func newRolloutFixture(t *testing.T, stage rollout.Stage, share float64) (*regionFixture, *rollout.Traffic) {
	h := newRegionFixture(t)
	traffic := &rollout.Traffic{Key: 5, Version: "v2", Share: share, Stage: stage}
	for i := range h.in.Upstreams {
		h.in.Upstreams[i].Version = "v1"
	}
	h.in.Upstreams[1].Version = "v2"
	h.in.Rollouts = map[string]*rollout.Traffic{"orders": traffic}
	h.configure(2)
	return h, traffic
}

// evidenceOf returns the evidence that the entry itself has.
func evidenceOf(h *regionFixture, traffic *rollout.Traffic) rollout.Counts {
	e, _ := h.proxy.Rollouts().Judge(traffic.Key, 1, time.Now())
	return e.Total()
}

// TestRetryLeavesNewVersion breaks off all requests at the new version. Each must be retried at
// another one.
func TestRetryLeavesNewVersion(t *testing.T) {
	h, traffic := newRolloutFixture(t, rollout.Shift, 1)
	h.onRequest = func(before int) bool { return before%2 == 0 }
	for i := range 10 {
		if r := h.send(fmt.Sprint("id", i)); r.status != http.StatusOK {
			t.Errorf("request %d: status %d", i, r.status)
		}
	}
	if c := evidenceOf(h, traffic); c.New != 0 || c.Old != 10 {
		t.Errorf("evidence %+v, want 10 answers of the other version", c)
	}
}

// TestNewVersionWithoutCapacity drains the upstream of the new version: the other one takes its
// requests.
func TestNewVersionWithoutCapacity(t *testing.T) {
	h, traffic := newRolloutFixture(t, rollout.Shift, 1)
	h.in.Upstreams[1].Leaving = true
	h.configure(3)
	if r := h.send("id"); r.status != http.StatusOK {
		t.Errorf("status %d", r.status)
	}
	if c := evidenceOf(h, traffic); c.New != 0 || c.Old != 1 {
		t.Errorf("evidence %+v", c)
	}
}

// TestWithheldVersionGetsNothing withholds the new version.
func TestWithheldVersionGetsNothing(t *testing.T) {
	h, _ := newRolloutFixture(t, rollout.Canary, 0)
	h.in.Rollouts = nil
	h.in.Withheld = map[string]map[string]bool{"orders": {"v1": true}}
	h.configure(3)
	for i := range 5 {
		h.send(fmt.Sprint("id", i))
	}
	h.in.Withheld = map[string]map[string]bool{"orders": {"v2": true}}
	h.configure(4)
	before := h.proxy.OutstandingOutside("orders", "v2")
	for i := range 5 {
		h.send(fmt.Sprint("other", i))
	}
	if before != 0 || !slices.Equal(h.ran[:5], []string{"muscat", "muscat", "muscat", "muscat", "muscat"}) {
		t.Errorf("ran in %v", h.ran)
	}
	for _, s := range h.proxy.Dump()["orders"].Upstreams {
		if s.Version == "v2" && s.Sent != 5 {
			t.Errorf("the new version was sent %d requests, want 5", s.Sent)
		}
	}
}

func TestIsSlow(t *testing.T) {
	warm := balance.Choice{Upstream: model.Upstream{}, Warm: true, ExpectedLatency: 100 * time.Millisecond}
	unknown := balance.Choice{ExpectedLatency: 100 * time.Millisecond}
	for _, tt := range []struct {
		choice balance.Choice
		took   time.Duration
		want   bool
	}{
		{warm, 250 * time.Millisecond, false},
		{warm, 350 * time.Millisecond, true},
		{unknown, 900 * time.Millisecond, false},
		{unknown, 1600 * time.Millisecond, true},
		{balance.Choice{Warm: true}, time.Minute, false},
	} {
		if got := isSlow(tt.choice, tt.took, 500*time.Millisecond); got != tt.want {
			t.Errorf("%v of an expected %v, warm %v: %v", tt.took, tt.choice.ExpectedLatency, tt.choice.Warm, got)
		}
	}
}

// unprovenRoutes is configRoutes with upstreams whose every answer has a status that promises what the
// answer does not prove.
type unprovenRoutes struct{ configRoutes }

// ParseResponse implements Protocol.
func (unprovenRoutes) ParseResponse(*http.Response, *RequestInfo, *model.Service) ResponseInfo {
	return ResponseInfo{InvalidReason: ReasonUnproven, Identified: true, Announcement: balance.NoAnnouncement()}
}

// TestUnprovenRefusalsCountInRollouts guards against a new version whose orders all fail and that is
// rolled out.
func TestUnprovenRefusalsCountInRollouts(t *testing.T) {
	h, traffic := newRolloutFixture(t, rollout.Shift, 1)
	h.proxy.opt.Protocol = unprovenRoutes{}
	h.route.Idempotent = false
	h.configure(3)
	for i := range 5 {
		if got := h.send(fmt.Sprint("order-", i)); got.status != http.StatusBadGateway {
			t.Errorf("order %d: status %d", i, got.status)
		}
	}
	if c := evidenceOf(h, traffic); c.New != 5 || c.NewBad != 5 {
		t.Errorf("evidence %+v, want 5 bad answers of the new version", c)
	}
}
