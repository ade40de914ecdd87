package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The tenant's limit, and what its clients in each of the three zones send: usually, and while it is hot.
const (
	quotaRate    = 200.0
	quotaBurst   = 200.0
	usualDemand  = 30
	hotDemand    = 150
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
)

// The times of the play, from the start of the traffic.
const (
	turnedAwayAt   = 4 * time.Second
	turnedAwayTime = 9 * time.Second
	hotAt          = 8500 * time.Millisecond
	hotTime        = 6 * time.Second
	quotaLength    = 17 * time.Second
)

// playQuota has a tenant send more than its limit to three nodes, while the store turns one of them
// away and serves the others.
func playQuota(w *world) (bool, string, error) {
	zones := []zone{{"mus-a", "muscat"}, {"mus-b", "muscat"}, {"soh-a", "sohar"}}
	cfg := config(map[string]any{"r-1": route("/lepu270/", "safe", "huvo11a", 2, 0.5)}, map[string]any{"huvo11a": service()})
	cfg["tenants"] = map[string]any{"tenant-1": map[string]any{"name": "tenant-1", "apiKeys": []string{"key-1"}, "ratePerS": quotaRate, "burst": quotaBurst}}
	w.store.Put("op/config", cfg)
	if err := w.addTargets(6, zones, targetOptions{id: "i-cat", service: "huvo11a", slots: 9, queue: 27, work: 30 * time.Millisecond, size: 400}); err != nil {
		return false, "", err
	}
	bounds := append(slices.Clone(smallBounds), "quotaWindowS=5", "quotaOverage=0.1", "quotaSlack=20", "revokeS=5")
	if err := w.addNodes(zones, zones, bounds); err != nil {
		return false, "", err
	}
	began := time.Now()
	var sending sync.WaitGroup
	for _, n := range w.nodes {
		sending.Add(1)
		go func() {
			defer sending.Done()
			sendTenant(w, n, began, &sending)
		}()
	}
	if w.trouble {
		time.Sleep(turnedAwayAt)
		w.rec.addf("store: turns %s away", w.nodes[2].name)
		w.doors[2].close()
		time.Sleep(turnedAwayTime)
		w.doors[2].open()
		w.rec.addf("store: serves %s again", w.nodes[2].name)
	}
	sending.Wait()
	return judgeQuota(w, began)
}

// sendTenant sends the tenant's requests from the zone of a node.
func sendTenant(w *world, n *node, began time.Time, sending *sync.WaitGroup) {
	c := newClient(w.rec, n, w.nodes)
	for i := 0; time.Since(began) < quotaLength; i++ {
		demand := usualDemand
		if at := time.Since(began); at >= hotAt && at < hotAt+hotTime {
			demand = hotDemand
		}
		time.Sleep(time.Second / time.Duration(demand))
		sending.Add(1)
		go func() {
			defer sending.Done()
			c.send("GET", fmt.Sprintf("/lepu270/%x", i%98), newID(), "", 3*time.Second,
				map[string]string{"X-Api-Key": "key-1", "Cookie": fmt.Sprintf("Affinity-Key=%d", i%98)})
		}()
	}
}

// judgeQuota compares the runs of the tenant's requests in each window with the bound of the rule.
func judgeQuota(w *world, began time.Time) (bool, string, error) {
	var at []time.Time
	for _, r := range allRuns(w.targets) {
		if r.tenant == "tenant-1" {
			at = append(at, r.at)
		}
	}
	if len(at) == 0 {
		return false, "", fmt.Errorf("no request of the tenant was run")
	}
	slices.SortFunc(at, time.Time.Compare)
	most, from := maxInWindow(at, quotaWindow)
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	seen := fmt.Sprintf("QUOTA: at most %d requests of the tenant were run in %v, from %.1f s of the traffic; the bound is %.0f", most, quotaWindow, from.Sub(began).Seconds(), bound)
	return float64(most) > bound, seen, nil
}

// maxInWindow returns the largest number of the sorted times in a window, and where that window begins.
func maxInWindow(at []time.Time, window time.Duration) (most int, from time.Time) {
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, at[first]
		}
	}
	return most, from
}
