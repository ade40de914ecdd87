package view

import (
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/rollout"
)

// versioned returns an upstream with a version.
func versioned(id, version string) model.Upstream {
	u := upstream(id, "mus-a")
	u.Version = version
	return u
}

// withheld returns the IDs of the upstreams that get no requests, and the rollout of their service.
func withheld(v *View, now time.Time) (ids string, traffic *rollout.Traffic) {
	s := v.Snapshot(now)
	for _, u := range s.Services["stock"].Upstreams {
		if s.Draining(&u, now) {
			ids += u.ID
		}
	}
	return ids, s.Services["stock"].Rollout
}

// TestRolloutInSnapshot follows a rollout from the start of the new upstreams to its end.
func TestRolloutInSnapshot(t *testing.T) {
	order := rollout.Order{Service: "stock", Version: "v2", Duration: 12 * time.Second, Revision: 5}
	progress := func(revision int64, state rollout.State, stage rollout.Stage) rollout.Progress {
		return rollout.Progress{State: state, Version: "v2", Order: 5, Stage: stage, Share: 0.08, Revision: revision}
	}
	v := newView()
	v.PutUpstream(versioned("a", "v1"))
	if ids, traffic := withheld(v, at(0)); ids != "" || traffic != nil {
		t.Errorf("before: withheld %q, %+v", ids, traffic)
	}
	v.PutUpstream(versioned("b", "v2"))
	if ids, _ := withheld(v, at(1)); ids != "b" || !v.AwaitsAdoption() || v.HasRollouts() {
		t.Errorf("without an order: withheld %q", ids)
	}
	v.PutRolloutOrder(order, at(1))
	if ids, traffic := withheld(v, at(1)); ids != "b" || traffic != nil || !v.HasRollouts() {
		t.Errorf("ordered: withheld %q, %+v", ids, traffic)
	}
	v.PutRolloutProgress("stock", progress(6, rollout.Running, rollout.Canary), at(1))
	if ids, traffic := withheld(v, at(2)); ids != "" || traffic == nil || traffic.Share != 0.08 {
		t.Errorf("canary: withheld %q, %+v", ids, traffic)
	}
	v.PutRolloutProgress("stock", progress(7, rollout.Running, rollout.Switch), at(3))
	v.PutRolloutProgress("stock", progress(6, rollout.Running, rollout.Canary), at(3))
	if ids, _ := withheld(v, at(3)); ids != "a" {
		t.Errorf("switch, and an older progress after it: withheld %q", ids)
	}
	if r := v.Rollouts(); len(r) != 1 || r[0].NewUpstreams != 1 || r[0].OldUpstreams != 1 || r[0].Since != at(1) || r[0].ProgressSince != at(3) {
		t.Errorf("rollouts %+v", r)
	}
	v.PutRolloutProgress("stock", progress(8, rollout.Completed, ""), at(4))
	if ids, traffic := withheld(v, at(4)); ids != "a" || traffic != nil || v.HasRollouts() {
		t.Errorf("completed: withheld %q, %+v", ids, traffic)
	}
	v.RemoveUpstream("a", at(5))
	v.ReplaceRollouts(nil, nil, at(6))
	if ids, _ := withheld(v, at(6)); ids != "" || len(v.Rollouts()) != 0 {
		t.Errorf("order and status removed: withheld %q", ids)
	}
}

// TestRemovalsLeaveNoServices removes orders and progress that never were there.
func TestRemovalsLeaveNoServices(t *testing.T) {
	v := New(Options{})
	for i := range 1000 {
		service := string(rune('a' + i))
		v.RemoveRolloutProgress(service)
		if v.RemoveRolloutOrder(service) {
			t.Errorf("an order for %q was removed", service)
		}
	}
	if len(v.versions) != 0 {
		t.Errorf("%d services are kept", len(v.versions))
	}
}
