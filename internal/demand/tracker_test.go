package demand

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var t0 = time.Unix(1_800_000_000, 0)

// sumOf returns the total rates of rows.
func sumOf(rows []Row) (arrived, admitted float64) {
	for _, r := range rows {
		arrived += r.Arrived
		admitted += r.Admitted
	}
	return arrived, admitted
}

// record counts requests at a rate for some seconds and returns the time of the last.
func record(t *Tracker, service string, perSecond int, seconds int) time.Time {
	now := t0
	for i := range perSecond * seconds {
		now = t0.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		t.Record(service, i%3, uint32(i%5), now)
		if i%2 == 0 {
			t.RecordAdmitted(service, i%3, uint32(i%5), now)
		}
	}
	return now
}

func TestRatesFollowRequests(t *testing.T) {
	tr := NewTracker()
	tr.SetRegion("thessaly")
	now := record(tr, "templates", 100, 8)
	arrived, admitted := sumOf(tr.Rows("templates", now))
	if math.Abs(arrived-100) > 3 || math.Abs(admitted-50) > 3 {
		t.Errorf("%v arrived and %v admitted per second, want 100 and 50", arrived, admitted)
	}
	for _, r := range tr.Rows("templates", now) {
		if r.Region != "thessaly" || r.Service != "templates" {
			t.Errorf("row %+v", r)
		}
	}
	if rows := tr.Rows("templates", now.Add(20*window)); len(rows) != 0 {
		t.Errorf("long after the last request: %v", rows)
	}
	if rows := tr.Rows("archive", now); len(rows) != 0 {
		t.Errorf("service without requests: %v", rows)
	}
}

// TestOrganisationsAreBounded sends one organisation's requests among those of a thousand others. Its
// row must remain and no request may be lost from the sum.
func TestOrganisationsAreBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 2000 {
		tr.Record("s", 1, uint32(i%1000)+2, t0)
		tr.Record("s", 0, 1, t0)
	}
	rows := tr.Rows("s", t0)
	if len(rows) > maxOrganisations+2 {
		t.Errorf("%d rows", len(rows))
	}
	if cells := len(tr.counts("s").cells); cells > maxCells+2 {
		t.Errorf("%d cells", cells)
	}
	if arrived, _ := sumOf(rows); math.Abs(arrived-4000) > 1e-6 {
		t.Errorf("%v requests in rows, want 4000", arrived)
	}
	if rows[0].Organisation != 1 || math.Abs(rows[0].Arrived-2000) > 1e-6 {
		t.Errorf("heaviest organisation: %+v", rows[0])
	}
}

func TestSilentReportersExpire(t *testing.T) {
	tr := NewTracker()
	row := Row{Key: Key{Service: "s", Region: "r"}, Arrived: 10}
	tr.Apply("a", "a", "s", Summary{Entries: 3, Rows: []Row{row}}, t0)
	tr.Apply("b", "b", "s", Summary{Entries: 1, Rows: []Row{row}}, t0.Add(time.Second))
	for _, tt := range []struct {
		after   time.Duration
		arrived float64
		entries int
	}{{time.Second, 20, 5}, {reportTTL, 10, 2}, {reportTTL + time.Second, 0, 1}} {
		now := t0.Add(tt.after)
		arrived, _ := sumOf(tr.Rows("s", now))
		if arrived != tt.arrived || tr.Entries("s", now) != tt.entries {
			t.Errorf("after %v: %v from %d entries, want %v from %d", tt.after, arrived, tr.Entries("s", now), tt.arrived, tt.entries)
		}
	}
	tr.Apply("c", "c", "other", Summary{Entries: 1}, t0.Add(time.Minute))
	if len(tr.reports) != 1 {
		t.Errorf("%d reporters are kept, want 1", len(tr.reports))
	}
}

// TestTotalReplacesSum has a hub report the demand at all entries, which includes the own one.
func TestTotalReplacesSum(t *testing.T) {
	tr := NewTracker()
	tr.Record("s", 0, 0, t0)
	tr.Apply(Total, "hub", "s", Summary{Entries: 73, Rows: []Row{{Key: Key{Service: "s", Region: "r"}, Arrived: 500}}}, t0)
	if arrived, _ := sumOf(tr.Rows("s", t0)); arrived != 500 || tr.Entries("s", t0) != 73 {
		t.Errorf("%v from %d entries", arrived, tr.Entries("s", t0))
	}
	all := func(string) bool { return true }
	if sum := tr.Sum("s", true, all, t0); len(sum.Rows) != 1 || sum.Entries != 1 {
		t.Errorf("the total is passed on: %v", sum)
	}
	if got := tr.Announced(t0); !slices.Equal(got, []string{"s"}) {
		t.Errorf("announced: %v", got)
	}
	if got := tr.Announced(t0.Add(reportTTL)); len(got) != 0 {
		t.Errorf("announced after the hub has become silent: %v", got)
	}
	if arrived, _ := sumOf(tr.Rows("s", t0.Add(reportTTL))); arrived >= 1 {
		t.Errorf("after the hub has become silent: %v", arrived)
	}
}

func TestMergeKeepsTheSum(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("sums are kept, rows are unique", prop.ForAll(func(organisations []uint32) bool {
		var rows []Row
		for i, o := range organisations {
			rows = append(rows, Row{Key: Key{Region: fmt.Sprint(i % 2), Rank: i % 3, Organisation: o % 40}, Arrived: float64(i), Admitted: 1})
		}
		before, admitted := sumOf(rows)
		merged := Fit(merge(rows, maxOrganisations), 20)
		after, admittedAfter := sumOf(merged)
		keys := make(map[Key]bool)
		for _, r := range merged {
			keys[r.Key] = true
		}
		return before == after && admitted == admittedAfter && len(keys) == len(merged) && len(merged) <= 20
	}, gen.SliceOf(gen.UInt32())))
	properties.TestingRun(t)
}

func TestConcurrentUse(t *testing.T) {
	tr := NewTracker()
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 500 {
				service := fmt.Sprint("s", k%3)
				tr.Record(service, k%2, uint32(k), t0)
				tr.RecordAdmitted(service, k%2, uint32(k), t0)
				tr.Apply(fmt.Sprint(i), fmt.Sprint(i), service, Summary{Entries: 1, Rows: []Row{{Key: Key{Service: service}, Arrived: 1}}}, t0)
				tr.RecordWork(service, time.Second, 1, t0)
				tr.Rows(service, t0)
			}
		})
	}
	wg.Wait()
	arrived := 0.0
	for i := range 3 {
		a, _ := sumOf(tr.OwnRows(fmt.Sprint("s", i), t0))
		arrived += a
	}
	if math.Abs(arrived-4000) > 1e-6 {
		t.Errorf("%v requests counted, want 4000", arrived)
	}
}

// TestMeanWorkOverEntries has two entries with different work and rates.
func TestMeanWorkOverEntries(t *testing.T) {
	tr := NewTracker()
	if got := tr.Summary("s", t0).Work.Mean(); got != 0 {
		t.Errorf("mean work before the first request: %v", got)
	}
	for i := range 400 {
		tr.RecordWork("s", 200*time.Millisecond, 1, t0.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := t0.Add(40 * time.Second)
	if w := tr.Summary("s", now).Work; math.Abs(w.Rate-10) > 0.5 || math.Abs(w.Mean()-0.2) > 1e-9 {
		t.Errorf("own work: %+v", w)
	}
	tr.Apply("e", "e", "s", Summary{Entries: 1, Work: Work{Busy: 15, Rate: 30}}, now)
	if got := tr.Summary("s", now).Work.Mean(); math.Abs(got-17.0/40) > 0.01 {
		t.Errorf("mean work of both entries: %v", got)
	}
}

// TestTwoHubsOfADomain has two hubs report for one failure domain. The one with more entries counts, until
// it has become silent.
func TestTwoHubsOfADomain(t *testing.T) {
	tr := NewTracker()
	sum := func(entries int) Summary {
		return Summary{Entries: entries, Rows: []Row{{Key: Key{Service: "s", Region: "r"}, Arrived: float64(10 * entries)}}}
	}
	tr.Apply("*d", "first", "s", sum(8), t0)
	for _, tt := range []struct {
		after   time.Duration
		source  string
		entries int
		want    float64
	}{
		{100 * time.Millisecond, "second", 4, 80},
		{400 * time.Millisecond, "first", 7, 70},
		{500 * time.Millisecond, "second", 9, 90},
		{600 * time.Millisecond, "first", 3, 90},
		{500*time.Millisecond + preferenceTTL, "first", 3, 30},
	} {
		now := t0.Add(tt.after)
		tr.Apply("*d", tt.source, "s", sum(tt.entries), now)
		if arrived, _ := sumOf(tr.Rows("s", now)); arrived != tt.want {
			t.Errorf("after %v: %v arrive, want %v", tt.after, arrived, tt.want)
		}
	}
}
