package inflight

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/demand"
)

// reportedDemand implements Demand for one service.
type reportedDemand struct{ *demand.Tracker }

func (reportedDemand) Services(time.Time) []string { return []string{"templates"} }

// TestDemandReachesAllEntries has each entry of a fleet, with and without hubs, count requests. All
// entries must come to know the demand at all of them.
func TestDemandReachesAllEntries(t *testing.T) {
	for _, perDomain := range []int{4, 15} {
		t.Run(fmt.Sprint(2*perDomain), func(t *testing.T) {
			all, _ := startExchanges(t, perDomain)
			waitForEntries(t, all, len(all))
		})
	}
}

// demandRows returns rows of a number of regions, ranks and organisations.
func demandRows(regions, ranks, organisations int, rate float64) []demand.Row {
	var rows []demand.Row
	for i := range regions {
		for rank := range ranks {
			for o := range organisations {
				key := demand.Key{Service: "templates", Region: fmt.Sprint("thessaly-", i), Rank: rank, Organisation: uint32(o * 0x1234567)}
				rows = append(rows, demand.Row{Key: key, Arrived: rate, Admitted: rate / 2})
			}
		}
	}
	return rows
}

func TestDemandReportRoundTrip(t *testing.T) {
	for name, rows := range map[string][]demand.Row{
		"none": nil,
		"full": demandRows(3, 1, 30, demandUnit*maxDemandUnits)[:maxDemandRows],
	} {
		r := Report{Entry: "some-entry-with-a-long-name", Scope: ScopeNone, Last: allUpstreams, DemandScope: ScopeOthers, Demand: &ServiceDemand{"templates", demand.Summary{Entries: 73, Work: demand.Work{Busy: 1000 * workUnit, Rate: 400 * demandUnit}, Rows: rows}}}
		b := r.Append(nil)
		if len(b) > maxDatagram {
			t.Errorf("%s: %d bytes, more than a datagram", name, len(b))
		}
		got, err := Decode(b)
		if err != nil || !reflect.DeepEqual(got, &r) {
			t.Errorf("%s: got %+v, %v, want %+v", name, got, err, r)
		}
	}
}

func TestMalformedDemandReport(t *testing.T) {
	good := &ServiceDemand{"s", demand.Summary{Entries: 2, Rows: demandRows(1, 1, 1, 5)}}
	for name, change := range map[string]func(*ServiceDemand){
		"too many entries": func(d *ServiceDemand) { d.Entries = maxDemandEntries + 1 },
		"too large a rate": func(d *ServiceDemand) { d.Rows[0].Arrived = (maxDemandUnits + 1) * demandUnit },
		"too large a rank": func(d *ServiceDemand) { d.Rows[0].Rank = maxRank + 1 },
		"long name":        func(d *ServiceDemand) { d.Service = string(make([]byte, maxNameLength+1)) },
	} {
		d := &ServiceDemand{good.Service, demand.Summary{Entries: good.Entries, Rows: demandRows(1, 1, 1, 5)}}
		change(d)
		if _, err := decodeDemand(appendDemand(nil, d)); !errors.Is(err, errMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	encoded := appendDemand(nil, good)
	whole := len(encoded) - len(appendDemand(nil, &ServiceDemand{"s", demand.Summary{Entries: 2}})) // bytes of regions and rows
	for n := len(encoded) - whole + 1; n < len(encoded); n++ {
		if d, err := decodeDemand(encoded[:n]); err == nil && len(d.Rows) > 0 {
			t.Errorf("the first %d of %d bytes are accepted as a row", n, len(encoded))
		}
	}
}

// TestDemandServicesInTurn reports more services than fit one round. Each must have its turn.
func TestDemandServicesInTurn(t *testing.T) {
	x := &Exchange{opt: Options{Demand: manyServices{}}}
	seen := make(map[string]int)
	now := t0
	for range 5 {
		now = now.Add(demandPeriod)
		for _, s := range x.dueDemand(now) {
			seen[s]++
		}
		if early := x.dueDemand(now.Add(localPeriod)); early != nil {
			t.Errorf("due after one period: %v", early)
		}
	}
	if len(seen) != 10 {
		t.Errorf("reported: %v", seen)
	}
	for s, n := range seen {
		if n != 2 {
			t.Errorf("%s is reported %d times in five rounds, want 2", s, n)
		}
	}
}

// manyServices implements Demand for ten services without requests.
type manyServices struct{ reportedDemand }

func (manyServices) Services(time.Time) []string {
	var out []string
	for i := range 10 {
		out = append(out, fmt.Sprint("s", i))
	}
	return out
}

// TestDemandBytes states what the reports of one service cost, in bytes per second: an entry's own
// report, and what a hub sends to the other hubs and to the entries of its domain. The sizes of reports
// do not depend on the number of entries.
func TestDemandBytes(t *testing.T) {
	const perSecond = float64(time.Second) / float64(demandPeriod)
	size := func(rows []demand.Row) float64 {
		r := Report{
			Entry: "edge-thessaly-a-12", Incarnation: 1 << 60, Sequence: 1 << 20, Scope: ScopeNone, Last: allUpstreams,
			Demand: &ServiceDemand{"templates", demand.Summary{Entries: 985, Work: demand.Work{Busy: 500, Rate: 2000}, Rows: demand.Fit(rows, maxDemandRows)}},
		}
		return float64(len(r.Append(nil)))
	}
	for _, tt := range []struct {
		entries, domains, regions, busy int
		hubBound                        float64
	}{{73, 6, 3, 73, 21_000}, {300, 6, 3, 90, 30_000}, {985, 12, 6, 90, 35_000}} {
		own := size(demandRows(1, 1, 17, 14)) * perSecond
		total := size(demandRows(tt.regions, 1, 17, 400)) * perSecond
		busy := float64(tt.busy)/float64(tt.domains) - 1
		idle := float64(tt.entries-tt.busy) / float64(tt.domains)
		toIdle := size(demand.Fit(demandRows(tt.regions, 1, 17, 400), 1)) * perSecond / idleDemandRounds
		hub := own*float64(tt.domains-1) + total*busy + toIdle*idle
		t.Logf("%d entries: a busy entry sends %.0f and receives %.0f bytes a second, a hub sends %.0f", tt.entries, own, total, hub)
		if own > 900 || hub > tt.hubBound {
			t.Errorf("%d entries: an entry sends %.0f bytes a second, a hub %.0f", tt.entries, own, hub)
		}
	}
}

// TestDemandSurvivesItsHub ends the hub of a failure domain. The others must soon know the demand at all
// that are left, and no longer that of the hub.
func TestDemandSurvivesItsHub(t *testing.T) {
	all, _ := startExchanges(t, 15)
	waitForEntries(t, all, len(all))
	all[0].stop()
	waitForEntries(t, all[1:], len(all)-1)
}

// waitForEntries waits until all entries know the demand at a number of entries.
func waitForEntries(t *testing.T, all []*entry, want int) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		known := 0
		for _, e := range all {
			e.demand.Record("templates", 0, 7, time.Now())
			if e.demand.Entries("templates", time.Now()) == want {
				known++
			}
		}
		if known == len(all) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d entries know the demand at %d", known, len(all), want)
		}
		time.Sleep(pollEvery)
	}
}
