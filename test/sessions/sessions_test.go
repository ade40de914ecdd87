package sessions

import (
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/standin"
)

const (
	// One-way latencies between regions.
	gardenLatency    = 35 * time.Millisecond
	authorityLatency = 55 * time.Millisecond
	ms               = time.Millisecond
	// Gaps between requests are odd numbers of microseconds, so that no two events happen
	// at the same instant and their order is the same in each run.
	us = time.Microsecond
)

var (
	gardenRegions    = []string{"muscat", "batinah", "dakhiliyah"}
	authorityRegions = []string{"muscat", "sohar", "salalah"}
)

// setUpGarden adds the upstreams and settings of the garden centres at their full size.
func setUpGarden(w *simulation) {
	for _, r := range gardenRegions {
		for _, d := range []string{r + "-a", r + "-b"} {
			w.addUpstreams("stock", r, d, 4, 9, 20*ms)
			w.addUpstreams("orders", r, d, 2, 6, 40*ms)
			w.addUpstreams("design", r, d, 2, 3, 200*ms)
		}
	}
	w.commit("setup", "/services/stock repeat=safe", "/services/stock deadline=2s", "/services/orders repeat=unsafe", "/services/design deadline=30s")
	time.Sleep(propagationDelay + ms)
}

// setUpAuthority adds the upstreams and settings of the Authority at their full size.
func setUpAuthority(w *simulation) {
	for _, r := range authorityRegions {
		for _, d := range []string{r + "-a", r + "-b"} {
			w.addUpstreams("history", r, d, 3, 6, 15*ms)
			w.addUpstreams("adjustments", r, d, 2, 5, 30*ms)
			w.addUpstreams("intake", r, d, 2, 3, 60*ms)
		}
	}
	w.commit("setup", "/services/history repeat=safe", "/services/adjustments repeat=unsafe", "/services/intake repeat=unsafe", "/services/intake deadline=30s")
	time.Sleep(propagationDelay + ms)
}

// TestSaplingRush: the load grows to 90 percent of a region's slots, then above all of
// them, so that other regions take the rest.
func TestSaplingRush(t *testing.T) {
	runScenario(t, "sapling-rush", gardenRegions, gardenLatency, func(w *simulation) {
		setUpGarden(w)
		page := request{region: "muscat", service: "stock", method: "GET", path: "/palms"}
		w.load("calm", 400, 2003*us, page)
		w.load("rush at 90 percent of muscat's slots", 3000, 311*us, page)
		w.load("rush past all of muscat's slots", 3000, 211*us, page)
	})
}

// TestOrderWhoseUpstreamDies: upstreams close the connection after running an order
// without an answer. The order must not run again.
func TestOrderWhoseUpstreamDies(t *testing.T) {
	runScenario(t, "order-upstream-dies", gardenRegions, gardenLatency, func(w *simulation) {
		setUpGarden(w)
		for _, u := range w.upstreams {
			u.closesUnanswered = u.Service == "orders" && u.Region == "muscat"
		}
		w.send(request{caller: "trade-1", region: "muscat", service: "orders", method: "POST", path: "/orders"})
		w.send(request{caller: "trade-2", region: "muscat", service: "orders", method: "POST", path: "/orders", repeat: "safe"})
		w.send(request{caller: "trade-3", region: "batinah", service: "orders", method: "POST", path: "/orders"})
	})
}

// TestPhotographOverACutLink: answers break off in the middle. Only reads may be sent
// again.
func TestPhotographOverACutLink(t *testing.T) {
	runScenario(t, "photograph-cut-link", gardenRegions, gardenLatency, func(w *simulation) {
		setUpGarden(w)
		for _, u := range w.upstreams {
			u.truncates = u.Service == "design" && u.Region == "muscat"
		}
		w.send(request{caller: "gardener-1", region: "muscat", service: "design", method: "POST", path: "/photos"})
		w.send(request{caller: "gardener-2", region: "muscat", service: "design", method: "GET", path: "/plans/7"})
		w.send(request{caller: "gardener-3", region: "muscat", service: "design", method: "GET", path: "/plans/7"})
	})
}

// TestRedemptionDuringAnOutage: while the store is down, requests are served and changes
// of settings are refused.
func TestRedemptionDuringAnOutage(t *testing.T) {
	runScenario(t, "redemption-store-outage", gardenRegions, gardenLatency, func(w *simulation) {
		setUpGarden(w)
		w.store.SetFault(func(standin.Op, string) standin.Fault { return standin.Fault{Down: true} })
		w.logf("platform: the key-value service is away")
		w.send(request{caller: "member-1", region: "dakhiliyah", service: "design", method: "POST", path: "/redeem"})
		w.commit("ali", "/services/design deadline=10s")
		w.store.SetFault(nil)
		w.logf("platform: the key-value service is back")
		w.commit("ali", "/services/design deadline=10s")
		w.send(request{caller: "member-2", region: "dakhiliyah", service: "design", method: "POST", path: "/redeem"})
	})
}

// TestHistoryBehindASlowDomain: the upstreams of one failure domain become 20 times as
// slow. Most requests must go to the other one.
func TestHistoryBehindASlowDomain(t *testing.T) {
	runScenario(t, "history-slow-domain", authorityRegions, authorityLatency, func(w *simulation) {
		setUpAuthority(w)
		read := request{region: "sohar", service: "history", method: "GET", path: "/accounts/7", deadline: 500 * ms}
		w.load("before", 300, 3001*us, read)
		for _, u := range w.upstreams {
			if u.Domain == "sohar-a" {
				u.slowdown = 20
			}
		}
		w.logf("upstreams of sohar-a take 20 times as long")
		w.load("while sohar-a is slow", 600, 3001*us, read)
	})
}

// TestLateAdjustment: the service time is above the deadline of one request and below
// that of another.
func TestLateAdjustment(t *testing.T) {
	runScenario(t, "late-adjustment", authorityRegions, authorityLatency, func(w *simulation) {
		setUpAuthority(w)
		for _, u := range w.upstreams {
			if u.Service == "adjustments" && u.Region == "muscat" {
				u.slowdown = 10
			}
		}
		w.logf("adjustments in muscat take 300 ms")
		w.send(request{caller: "clerk-1", region: "muscat", service: "adjustments", method: "POST", path: "/adjust", deadline: 100 * ms})
		w.send(request{caller: "clerk-2", region: "muscat", service: "adjustments", method: "POST", path: "/adjust", deadline: 400 * ms})
	})
}

// TestNoticeDuringAPlannedStop: an entry stops with a request in flight, which must be
// answered. A new request is refused as not run, and another entry serves it.
func TestNoticeDuringAPlannedStop(t *testing.T) {
	runScenario(t, "notice-planned-stop", authorityRegions, authorityLatency, func(w *simulation) {
		setUpAuthority(w)
		notice := request{caller: "notice-1", region: "salalah", service: "intake", method: "POST", path: "/notices"}
		done := make(chan struct{})
		go func() { w.send(notice); close(done) }()
		time.Sleep(10 * ms)
		w.entries["salalah"].Stop()
		w.logf("entry-salalah refuses new work, 1 request in flight")
		notice.caller = "notice-2"
		w.send(notice)
		notice.region = "sohar"
		w.send(notice)
		<-done
	})
}

// TestDrainBesideARacingScript: a failure domain is drained, and a script tries to drain
// a second one of the region. That change is refused, and the drained domain gets no
// requests.
func TestDrainBesideARacingScript(t *testing.T) {
	runScenario(t, "drain-racing-script", authorityRegions, authorityLatency, func(w *simulation) {
		setUpAuthority(w)
		read := request{region: "sohar", service: "history", method: "GET", path: "/accounts/7"}
		w.commit("crew", "/drains/night region=sohar", "/drains/night domain=sohar-a", "/drains/night start="+w.timestamp(2*time.Second))
		w.commit("script", "/drains/other region=sohar", "/drains/other domain=sohar-b", "/drains/other start="+w.timestamp(2*time.Second))
		w.load("before the drain", 200, 5003*us, read)
		time.Sleep(2*time.Second - time.Since(w.began))
		ran := w.domainRuns("sohar-a")
		w.logf("the drain begins")
		w.load("during the drain", 400, 3001*us, read)
		w.logf("sohar-a ran %d more", w.domainRuns("sohar-a")-ran)
		w.commit("crew", "/drains/night region=", "/drains/night domain=", "/drains/night start=")
		time.Sleep(propagationDelay + ms)
		w.load("after the drain", 200, 5003*us, read)
	})
}

// TestBulkMoveToColdSalalah: a move above shift_cap is refused, one at the cap takes
// effect in steps. Once the target region is lost, all requests stay in their own.
func TestBulkMoveToColdSalalah(t *testing.T) {
	runScenario(t, "bulk-move-cold-salalah", authorityRegions, authorityLatency, func(w *simulation) {
		setUpAuthority(w)
		w.commit("crew", "/services/history shift_cap=0.3", "/services/history shift_rate=1")
		w.commit("crew", "/moves/bulk service=history", "/moves/bulk from=muscat", "/moves/bulk to=salalah", "/moves/bulk fraction=0.6", "/moves/bulk start="+w.timestamp(time.Second))
		w.commit("crew", "/moves/bulk service=history", "/moves/bulk from=muscat", "/moves/bulk to=salalah", "/moves/bulk fraction=0.3",
			"/moves/bulk duration=30s", "/moves/bulk step=0.1", "/moves/bulk start="+w.timestamp(time.Second))
		read := request{region: "muscat", service: "history", method: "GET", path: "/accounts/7"}
		for _, part := range []string{"first 10 s", "second 10 s", "third 10 s", "fourth 10 s"} {
			w.load(part, 2000, 5003*us, read)
		}
		for _, u := range w.upstreams {
			u.down = u.Region == "salalah"
		}
		w.logf("salalah is lost")
		w.load("after the loss", 400, 5003*us, read)
	})
}

// TestRegionLostAndBack: a region's upstreams are lost under load and come back. Another
// region serves its requests meanwhile.
func TestRegionLostAndBack(t *testing.T) {
	runScenario(t, "region-lost-and-back", gardenRegions, gardenLatency, func(w *simulation) {
		setUpGarden(w)
		page := request{region: "muscat", service: "stock", method: "GET", path: "/palms"}
		w.load("before", 300, 3001*us, page)
		for _, u := range w.upstreams {
			u.down = u.Region == "muscat"
		}
		w.logf("muscat's upstreams are lost")
		w.load("while lost", 1500, 3001*us, page)
		for _, u := range w.upstreams {
			u.down = false
		}
		w.logf("muscat's upstreams are back")
		w.load("just after", 1000, 3001*us, page)
		time.Sleep(30 * time.Second)
		w.load("half a minute later", 600, 3001*us, page)
	})
}

// TestReportsFrozenAtIdle: two slow upstreams report no load, then also close the
// connection after every request. Most requests must go to the others.
func TestReportsFrozenAtIdle(t *testing.T) {
	runScenario(t, "reports-frozen-idle", gardenRegions, gardenLatency, func(w *simulation) {
		setUpGarden(w)
		page := request{region: "muscat", service: "stock", method: "GET", path: "/palms"}
		for _, id := range []string{"stock-muscat-a-1", "stock-muscat-a-2"} {
			w.upstreams[id].reportsIdle = true
			w.upstreams[id].slowdown = 10
		}
		w.logf("two of muscat's eight upstreams are slow and report to be idle")
		w.load("rush", 3000, 503*us, page)
		for _, id := range []string{"stock-muscat-a-1", "stock-muscat-a-2"} {
			w.upstreams[id].closesUnanswered = true
		}
		w.logf("now they also die with every request")
		w.load("rush with the dying", 3000, 503*us, page)
	})
}

// domainRuns returns the number of requests that a failure domain's upstreams ran.
func (w *simulation) domainRuns(domain string) int {
	n := 0
	for _, u := range w.upstreams {
		if u.Domain == domain {
			n += u.ranCount
		}
	}
	return n
}
