package sessions

import (
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/standin"
)

const (
	gardenLatency    = 35 * time.Millisecond
	authorityLatency = 55 * time.Millisecond
	ms               = time.Millisecond
	// The gaps between requests are odd numbers of microseconds, so that no two
	// events fall on one instant and the order of all is the same in each run.
	us = time.Microsecond
)

var (
	gardenRegions    = []string{"muscat", "batinah", "dakhiliyah"}
	authorityRegions = []string{"muscat", "sohar", "salalah"}
)

// garden lays out the garden centres at their true sizes.
func garden(w *world) {
	for _, r := range gardenRegions {
		for _, d := range []string{r + "-a", r + "-b"} {
			w.group("stock", r, d, 4, 9, 20*ms)
			w.group("orders", r, d, 2, 6, 40*ms)
			w.group("design", r, d, 2, 3, 200*ms)
		}
	}
	w.operator("setup", "/services/stock repeat=safe", "/services/stock deadline=2s", "/services/orders repeat=unsafe", "/services/design deadline=30s")
	time.Sleep(inForce + ms)
}

// authority lays out the Authority at its true sizes.
func authority(w *world) {
	for _, r := range authorityRegions {
		for _, d := range []string{r + "-a", r + "-b"} {
			w.group("history", r, d, 3, 6, 15*ms)
			w.group("adjustments", r, d, 2, 5, 30*ms)
			w.group("intake", r, d, 2, 3, 60*ms)
		}
	}
	w.operator("setup", "/services/history repeat=safe", "/services/adjustments repeat=unsafe", "/services/intake repeat=unsafe", "/services/intake deadline=30s")
	time.Sleep(inForce + ms)
}

func TestSaplingRush(t *testing.T) {
	play(t, "sapling-rush", gardenRegions, gardenLatency, func(w *world) {
		garden(w)
		page := request{region: "muscat", service: "stock", method: "GET", path: "/palms"}
		w.rush("calm", 400, 2003*us, page)
		w.rush("rush at 90 percent of muscat's slots", 3000, 311*us, page)
		w.rush("rush past all of muscat's slots", 3000, 211*us, page)
	})
}

func TestOrderWhoseUpstreamDies(t *testing.T) {
	play(t, "order-upstream-dies", gardenRegions, gardenLatency, func(w *world) {
		garden(w)
		for _, u := range w.upstreams {
			u.dies = u.Service == "orders" && u.Region == "muscat"
		}
		w.send(request{caller: "trade-1", region: "muscat", service: "orders", method: "POST", path: "/orders"})
		w.send(request{caller: "trade-2", region: "muscat", service: "orders", method: "POST", path: "/orders", repeat: "safe"})
		w.send(request{caller: "trade-3", region: "batinah", service: "orders", method: "POST", path: "/orders"})
	})
}

func TestPhotographOverACutLink(t *testing.T) {
	play(t, "photograph-cut-link", gardenRegions, gardenLatency, func(w *world) {
		garden(w)
		for _, u := range w.upstreams {
			u.cuts = u.Service == "design" && u.Region == "muscat"
		}
		w.send(request{caller: "gardener-1", region: "muscat", service: "design", method: "POST", path: "/photos"})
		w.send(request{caller: "gardener-2", region: "muscat", service: "design", method: "GET", path: "/plans/7"})
		w.send(request{caller: "gardener-3", region: "muscat", service: "design", method: "GET", path: "/plans/7"})
	})
}

func TestRedemptionDuringAnOutage(t *testing.T) {
	play(t, "redemption-store-outage", gardenRegions, gardenLatency, func(w *world) {
		garden(w)
		w.store.SetFault(func(standin.Op, string) standin.Fault { return standin.Fault{Down: true} })
		w.say("platform: the key-value service is away")
		w.send(request{caller: "member-1", region: "dakhiliyah", service: "design", method: "POST", path: "/redeem"})
		w.operator("ali", "/services/design deadline=10s")
		w.store.SetFault(nil)
		w.say("platform: the key-value service is back")
		w.operator("ali", "/services/design deadline=10s")
		w.send(request{caller: "member-2", region: "dakhiliyah", service: "design", method: "POST", path: "/redeem"})
	})
}

func TestHistoryBehindASlowDomain(t *testing.T) {
	play(t, "history-slow-domain", authorityRegions, authorityLatency, func(w *world) {
		authority(w)
		read := request{region: "sohar", service: "history", method: "GET", path: "/accounts/7", deadline: 500 * ms}
		w.rush("before", 300, 3001*us, read)
		for _, u := range w.upstreams {
			if u.Domain == "sohar-a" {
				u.slow = 20
			}
		}
		w.say("upstreams of sohar-a take 20 times as long")
		w.rush("while sohar-a is slow", 600, 3001*us, read)
	})
}

func TestLateAdjustment(t *testing.T) {
	play(t, "late-adjustment", authorityRegions, authorityLatency, func(w *world) {
		authority(w)
		for _, u := range w.upstreams {
			if u.Service == "adjustments" && u.Region == "muscat" {
				u.slow = 10
			}
		}
		w.say("adjustments in muscat take 300 ms")
		w.send(request{caller: "clerk-1", region: "muscat", service: "adjustments", method: "POST", path: "/adjust", deadline: 100 * ms})
		w.send(request{caller: "clerk-2", region: "muscat", service: "adjustments", method: "POST", path: "/adjust", deadline: 400 * ms})
	})
}

func TestNoticeDuringAPlannedStop(t *testing.T) {
	play(t, "notice-planned-stop", authorityRegions, authorityLatency, func(w *world) {
		authority(w)
		notice := request{caller: "notice-1", region: "salalah", service: "intake", method: "POST", path: "/notices"}
		done := make(chan struct{})
		go func() { w.send(notice); close(done) }()
		time.Sleep(10 * ms)
		w.entries["salalah"].Stop()
		w.say("entry-salalah refuses new work, 1 request in flight")
		notice.caller = "notice-2"
		w.send(notice)
		notice.region = "sohar"
		w.send(notice)
		<-done
	})
}

func TestDrainBesideARacingScript(t *testing.T) {
	play(t, "drain-racing-script", authorityRegions, authorityLatency, func(w *world) {
		authority(w)
		read := request{region: "sohar", service: "history", method: "GET", path: "/accounts/7"}
		w.operator("crew", "/drains/night region=sohar", "/drains/night domain=sohar-a", "/drains/night start="+w.at(2*time.Second))
		w.operator("script", "/drains/other region=sohar", "/drains/other domain=sohar-b", "/drains/other start="+w.at(2*time.Second))
		w.rush("before the drain", 200, 5003*us, read)
		time.Sleep(2*time.Second - time.Since(w.began))
		ran := w.ranIn("sohar-a")
		w.say("the drain begins")
		w.rush("during the drain", 400, 3001*us, read)
		w.say("sohar-a ran %d more", w.ranIn("sohar-a")-ran)
		w.operator("crew", "/drains/night region=", "/drains/night domain=", "/drains/night start=")
		time.Sleep(inForce + ms)
		w.rush("after the drain", 200, 5003*us, read)
	})
}

func TestBulkMoveToColdSalalah(t *testing.T) {
	play(t, "bulk-move-cold-salalah", authorityRegions, authorityLatency, func(w *world) {
		authority(w)
		w.operator("crew", "/services/history shift_cap=0.3", "/services/history shift_rate=1")
		w.operator("crew", "/moves/bulk service=history", "/moves/bulk from=muscat", "/moves/bulk to=salalah", "/moves/bulk fraction=0.6", "/moves/bulk start="+w.at(time.Second))
		w.operator("crew", "/moves/bulk service=history", "/moves/bulk from=muscat", "/moves/bulk to=salalah", "/moves/bulk fraction=0.3",
			"/moves/bulk duration=30s", "/moves/bulk step=0.1", "/moves/bulk start="+w.at(time.Second))
		read := request{region: "muscat", service: "history", method: "GET", path: "/accounts/7"}
		for _, part := range []string{"first 10 s", "second 10 s", "third 10 s", "fourth 10 s"} {
			w.rush(part, 2000, 5003*us, read)
		}
		for _, u := range w.upstreams {
			u.down = u.Region == "salalah"
		}
		w.say("salalah is lost")
		w.rush("after the loss", 400, 5003*us, read)
	})
}

func TestRegionLostAndBack(t *testing.T) {
	play(t, "region-lost-and-back", gardenRegions, gardenLatency, func(w *world) {
		garden(w)
		page := request{region: "muscat", service: "stock", method: "GET", path: "/palms"}
		w.rush("before", 300, 3001*us, page)
		for _, u := range w.upstreams {
			u.down = u.Region == "muscat"
		}
		w.say("muscat's upstreams are lost")
		w.rush("while lost", 1500, 3001*us, page)
		for _, u := range w.upstreams {
			u.down = false
		}
		w.say("muscat's upstreams are back")
		w.rush("just after", 1000, 3001*us, page)
		time.Sleep(30 * time.Second)
		w.rush("half a minute later", 600, 3001*us, page)
	})
}

func TestReportsFrozenAtIdle(t *testing.T) {
	play(t, "reports-frozen-idle", gardenRegions, gardenLatency, func(w *world) {
		garden(w)
		page := request{region: "muscat", service: "stock", method: "GET", path: "/palms"}
		for _, id := range []string{"stock-muscat-a-1", "stock-muscat-a-2"} {
			w.upstreams[id].frozenLoad = true
			w.upstreams[id].slow = 10
		}
		w.say("two of muscat's eight upstreams are slow and report to be idle")
		w.rush("rush", 3000, 503*us, page)
		for _, id := range []string{"stock-muscat-a-1", "stock-muscat-a-2"} {
			w.upstreams[id].dies = true
		}
		w.say("now they also die with every request")
		w.rush("rush with the dying", 3000, 503*us, page)
	})
}

// ranIn returns how many requests a failure domain's upstreams ran.
func (w *world) ranIn(domain string) int {
	n := 0
	for _, u := range w.upstreams {
		if u.Domain == domain {
			n += u.ran
		}
	}
	return n
}
