package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// coldDemand is the number of requests per second that clients send to each node: beyond what a cold
	// target may get.
	coldDemand = 80
	// warmupTime and warmupRate are warmupS and warmupPerS of the service.
	warmupTime = 3 * time.Second
	warmupRate = 11.0
	// coldOverage and coldSlack are the bounds warmupOverage and warmupSlack.
	coldOverage = 1.5
	coldSlack   = 5.0
	// The times of the play, from the start of the traffic.
	coldTurnedAwayAt   = 2 * time.Second
	coldTurnedAwayTime = 9 * time.Second
	coldStartAt        = 7 * time.Second
	coldLength         = 12 * time.Second
)

// playCold has the targets of a service come back cold while the store turns one of three nodes away and
// serves the others. It is no case of its own: what breaks the rule is what breaks that of case 5.
func playCold(w *world) (bool, string, error) {
	zones := []zone{{"mus-a", "muscat"}, {"mus-b", "muscat"}, {"soh-a", "sohar"}}
	w.store.Put("op/config", config(map[string]any{"r-1": route("/lepu270/", "safe", "huvo11a", 2, 0.5)}, map[string]any{"huvo11a": service()}))
	opt := targetOptions{id: "i-cat", service: "huvo11a", slots: 6, queue: 18, work: 100 * time.Millisecond, size: 400}
	if err := w.addTargets(2, zones, opt); err != nil {
		return false, "", err
	}
	if err := w.addNodes(zones, zones, smallBounds); err != nil {
		return false, "", err
	}
	began := time.Now()
	var sending sync.WaitGroup
	for _, n := range w.nodes {
		sending.Add(1)
		go func() {
			defer sending.Done()
			c := newClient(w.rec, n, w.nodes)
			for i := 0; time.Since(began) < coldLength; i++ {
				time.Sleep(time.Second / coldDemand)
				sending.Add(1)
				go func() {
					defer sending.Done()
					c.send("GET", fmt.Sprintf("/lepu270/%x", i%98), newID(), "", 3*time.Second, map[string]string{"Cookie": fmt.Sprintf("Affinity-Key=%d", i%98)})
				}()
			}
		}()
	}
	time.Sleep(coldTurnedAwayAt)
	last := len(w.nodes) - 1
	if w.trouble {
		w.rec.addf("store: turns %s away", w.nodes[last].name)
		w.doors[last].close()
		time.AfterFunc(coldTurnedAwayTime, w.doors[last].open)
	}
	time.Sleep(coldStartAt - coldTurnedAwayAt)
	for _, t := range w.targets {
		t.crash()
	}
	opt.id, opt.zone, opt.warmup = "i-new", zones[2].name, warmupTime
	cold, err := startTarget(w.store, w.rec, w.ip(150), opt)
	if err != nil {
		return false, "", err
	}
	w.rec.addf("target %s starts, cold", cold.id)
	sending.Wait()
	var at []time.Time
	cold.mu.Lock()
	for _, r := range cold.arrivals {
		if r.at.Sub(cold.started) < warmupTime {
			at = append(at, r.at)
		}
	}
	cold.mu.Unlock()
	if len(at) == 0 {
		return false, "", fmt.Errorf("the cold target got no request")
	}
	slices.SortFunc(at, time.Time.Compare)
	most, from := maxInWindow(at, time.Second)
	bound := warmupRate*coldOverage + coldSlack
	seen := fmt.Sprintf("FAILBACK: the cold target got at most %d requests in a second, from %.1f s after its start; the bound is %.1f", most, from.Sub(cold.started).Seconds(), bound)
	return float64(most) > bound, seen, nil
}
