package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// window is the time constant with which a counted request loses its weight in the rates.
	window = time.Second
	// workWindow is the same for the measured work, which varies more from request to request.
	workWindow = 4 * time.Second
	// reportTTL is the time for which the last report of a reporter is used. Reports come about every
	// 0.4 s, or every 1.2 s for each of many services.
	reportTTL = 1500 * time.Millisecond
	// preferenceTTL is the time for which a report is kept although another entry sends one that counts
	// fewer entries.
	preferenceTTL = time.Second
	// maxOrganisations is the largest number of organisations of a service with rows of their own,
	// at an entry and in the sum of many entries.
	maxOrganisations = 16
	// maxCells bounds the pairs of rank and organisation that an entry counts for a service.
	maxCells = 256
	// negligible is the rate, in requests per second, below which a row is left out.
	negligible = 0.05
)

// Tracker counts the requests of the own entry and holds the rows that other entries report. It is
// safe for concurrent use; requests for different services share no lock.
type Tracker struct {
	region string

	mu       sync.RWMutex
	services map[string]*counts

	// reportsMu guards the fields below.
	reportsMu sync.Mutex
	reports   map[string]report
}

// Work is the work of the requests for a service that entries have measured.
type Work struct {
	// Busy is the number of slots that the measured requests held on average, Rate the number of these
	// requests per second.
	Busy, Rate float64
}

// plus returns the sum of two works.
func (w Work) plus(x Work) Work { return Work{w.Busy + x.Busy, w.Rate + x.Rate} }

// Mean returns the mean time for which a request holds a slot, in seconds; 0 without requests.
func (w Work) Mean() float64 {
	if w.Rate <= 0 {
		return 0
	}
	return w.Busy / w.Rate
}

// Summary is the demand for a service at a number of entries.
type Summary struct {
	Entries int
	Work    Work
	Rows    []Row
}

// report holds the last summaries of a reporter by service.
type report struct {
	services map[string]serviceReport
}

// serviceReport is a summary with the entry that sent it and the time of its arrival.
type serviceReport struct {
	Summary
	source string
	at     time.Time
}

// NewTracker returns a Tracker without requests.
func NewTracker() *Tracker {
	return &Tracker{services: make(map[string]*counts), reports: make(map[string]report)}
}

// SetRegion sets the region of the own entry.
func (t *Tracker) SetRegion(region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.region = region
}

// cellKey selects one counter of a service.
type cellKey struct {
	rank         int
	organisation uint32
}

// cell holds the decayed numbers of arrived and admitted requests as of at.
type cell struct {
	arrived, admitted float64
	at                time.Time
}

// decay brings a cell to a later time.
func (c *cell) decay(now time.Time) {
	if d := now.Sub(c.at); d > 0 {
		w := math.Exp(-float64(d) / float64(window))
		c.arrived *= w
		c.admitted *= w
		c.at = now
	}
}

// counts counts the requests of the own entry for one service.
type counts struct {
	mu    sync.Mutex
	cells map[cellKey]*cell
	// work holds the decayed slot-seconds and number of measured requests as of workAt.
	work   Work
	workAt time.Time
}

// cell returns a cell as of now. If there are too many, it first adds the lighter half of the
// organisations' cells to the cells of all other organisations.
func (c *counts) cell(k cellKey, now time.Time) *cell {
	if got := c.cells[k]; got != nil {
		got.decay(now)
		return got
	}
	if len(c.cells) >= maxCells {
		c.foldLighterHalf(now)
	}
	got := &cell{at: now}
	c.cells[k] = got
	return got
}

// foldLighterHalf moves the organisations with the fewest requests to organisation 0.
func (c *counts) foldLighterHalf(now time.Time) {
	for _, x := range c.cells {
		x.decay(now)
	}
	keys := slices.SortedFunc(maps.Keys(c.cells), func(x, y cellKey) int {
		return cmp.Compare(c.cells[x].arrived, c.cells[y].arrived)
	})
	for _, k := range keys[:len(keys)/2] {
		if k.organisation == 0 {
			continue
		}
		rest := c.cells[cellKey{rank: k.rank}]
		if rest == nil {
			rest = &cell{at: now}
			c.cells[cellKey{rank: k.rank}] = rest
		}
		rest.arrived += c.cells[k].arrived
		rest.admitted += c.cells[k].admitted
		delete(c.cells, k)
	}
}

// Record counts the arrival of a request that competes for room at the upstreams of a service.
func (t *Tracker) Record(service string, rank int, organisation uint32, now time.Time) {
	c := t.counts(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cell(cellKey{rank, organisation}, now).arrived++
}

// RecordAdmitted counts a request that was not refused. Its arrival is counted by Record.
func (t *Tracker) RecordAdmitted(service string, rank int, organisation uint32, now time.Time) {
	c := t.counts(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cell(cellKey{rank, organisation}, now).admitted++
}

// RecordWork counts a number of requests that held slots of upstreams for a time, together.
func (t *Tracker) RecordWork(service string, busy time.Duration, requests int, now time.Time) {
	c := t.counts(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decayWork(now)
	c.work = c.work.plus(Work{busy.Seconds(), float64(requests)})
}

// decayWork brings the work to a later time.
func (c *counts) decayWork(now time.Time) {
	if d := now.Sub(c.workAt); d > 0 {
		w := math.Exp(-float64(d) / float64(workWindow))
		c.work = Work{w * c.work.Busy, w * c.work.Rate}
		c.workAt = now
	}
}

// ownWork returns the work of the requests that the own entry has measured.
func (t *Tracker) ownWork(service string, now time.Time) Work {
	t.mu.RLock()
	c := t.services[service]
	t.mu.RUnlock()
	if c == nil {
		return Work{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decayWork(now)
	return Work{c.work.Busy / workWindow.Seconds(), c.work.Rate / workWindow.Seconds()}
}

// counts returns the counts of a service, which it creates if needed.
func (t *Tracker) counts(service string) *counts {
	t.mu.RLock()
	c := t.services[service]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c = t.services[service]; c == nil {
		c = &counts{cells: make(map[cellKey]*cell)}
		t.services[service] = c
	}
	return c
}

// Retain drops the counts of services that keep does not report.
func (t *Tracker) Retain(keep func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.services, func(service string, _ *counts) bool { return !keep(service) })
}

// OwnRows returns the demand at the own entry for a service, with rows of their own for the heaviest
// organisations.
func (t *Tracker) OwnRows(service string, now time.Time) []Row {
	t.mu.RLock()
	c, region := t.services[service], t.region
	t.mu.RUnlock()
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]Row, 0, len(c.cells))
	for k, x := range c.cells {
		x.decay(now)
		if x.arrived < negligible && x.admitted < negligible {
			delete(c.cells, k)
			continue
		}
		rows = append(rows, Row{
			Key:     Key{Service: service, Region: region, Rank: k.rank, Organisation: k.organisation},
			Arrived: x.arrived / window.Seconds(), Admitted: x.admitted / window.Seconds(),
		})
	}
	return merge(rows, maxOrganisations)
}

// Total is the name of the reporter of the demand at all entries.
const Total = "*"

// total returns the hub's report of the demand at all entries.
func (t *Tracker) total(service string, now time.Time) (serviceReport, bool) {
	t.reportsMu.Lock()
	defer t.reportsMu.Unlock()
	r, ok := t.reports[Total].services[service]
	return r, ok && now.Sub(r.at) < reportTTL
}

// Sum returns the demand reported by the reporters that from selects, plus that at the own entry if
// own is set. It never includes the demand at all entries that a hub reports.
func (t *Tracker) Sum(service string, own bool, from func(reporter string) bool, now time.Time) Summary {
	var sum Summary
	if own {
		sum = Summary{Entries: 1, Work: t.ownWork(service, now), Rows: t.OwnRows(service, now)}
	}
	t.visit(service, from, now, func(r serviceReport) {
		sum.Entries += r.Entries
		sum.Work = sum.Work.plus(r.Work)
		sum.Rows = append(sum.Rows, r.Rows...)
	})
	sum.Rows = merge(sum.Rows, maxOrganisations)
	return sum
}

// Summary returns the demand for a service over all entries with a report: what the hub
// reports for all entries, else the sum of the own counts and the reports of other entries. Old
// reports do not count. The number of entries falls when reports stop to arrive; entries at which the
// service is not under pressure send none.
func (t *Tracker) Summary(service string, now time.Time) Summary {
	if total, ok := t.total(service, now); ok {
		total.Rows = slices.Clone(total.Rows)
		return total.Summary
	}
	return t.Sum(service, true, func(string) bool { return true }, now)
}

// Rows returns the rows of Summary.
func (t *Tracker) Rows(service string, now time.Time) []Row { return t.Summary(service, now).Rows }

// Entries returns the number of entries of Summary.
func (t *Tracker) Entries(service string, now time.Time) int { return t.Summary(service, now).Entries }

// Announced returns the services of which a hub reports the demand at all entries: the hub expects
// reports about them.
func (t *Tracker) Announced(now time.Time) []string {
	t.reportsMu.Lock()
	defer t.reportsMu.Unlock()
	var out []string
	for service, r := range t.reports[Total].services {
		if now.Sub(r.at) < reportTTL {
			out = append(out, service)
		}
	}
	return out
}

// visit calls f with the fresh reports about a service, except the total.
func (t *Tracker) visit(service string, from func(reporter string) bool, now time.Time, f func(serviceReport)) {
	t.reportsMu.Lock()
	defer t.reportsMu.Unlock()
	for reporter, r := range t.reports {
		s, ok := r.services[service]
		if ok && reporter != Total && now.Sub(s.at) < reportTTL && from(reporter) {
			f(s)
		}
	}
}

// Apply replaces what a reporter has reported about a service, and drops reports that have expired. The
// source is the entry that sends the report: while a failure domain has several hubs, the reports
// of the one that covers most entries count.
func (t *Tracker) Apply(reporter, source, service string, s Summary, now time.Time) {
	t.reportsMu.Lock()
	defer t.reportsMu.Unlock()
	for name, r := range t.reports {
		maps.DeleteFunc(r.services, func(_ string, s serviceReport) bool { return now.Sub(s.at) >= reportTTL })
		if len(r.services) == 0 {
			delete(t.reports, name)
		}
	}
	r, ok := t.reports[reporter]
	if !ok {
		r = report{services: make(map[string]serviceReport)}
		t.reports[reporter] = r
	}
	if was, ok := r.services[service]; ok && was.source != source && was.Entries > s.Entries && now.Sub(was.at) < preferenceTTL {
		return
	}
	r.services[service] = serviceReport{s, source, now}
}

// Fit returns at most a number of rows with the same sums: fewer organisations have rows of their
// own. Rows of organisation 0 remain even if there are more.
func Fit(rows []Row, most int) []Row {
	for organisations := maxOrganisations; len(rows) > most && organisations > 0; {
		organisations /= 2
		rows = merge(rows, organisations)
	}
	return rows
}

// merge adds up rows of equal key, and adds organisations that are not among the heaviest to
// organisation 0. The result is sorted, so that equal rows have one encoding.
func merge(rows []Row, organisations int) []Row {
	weight := make(map[uint32]float64)
	for _, r := range rows {
		if r.Organisation != 0 {
			weight[r.Organisation] += r.Arrived
		}
	}
	heaviest := slices.SortedFunc(maps.Keys(weight), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(weight[y], weight[x]), cmp.Compare(x, y))
	})
	for _, o := range heaviest[min(len(heaviest), organisations):] {
		delete(weight, o)
	}
	sums := make(map[Key]Row, len(rows))
	for _, r := range rows {
		if _, own := weight[r.Organisation]; !own {
			r.Organisation = 0
		}
		sum := sums[r.Key]
		sum.Key = r.Key
		sum.Arrived += r.Arrived
		sum.Admitted += r.Admitted
		sums[r.Key] = sum
	}
	return slices.SortedFunc(maps.Values(sums), func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Region, y.Region), cmp.Compare(x.Rank, y.Rank), cmp.Compare(x.Organisation, y.Organisation))
	})
}

// ByRegion returns the rates of arrivals by region.
func ByRegion(rows []Row) map[string]float64 {
	out := make(map[string]float64)
	for _, r := range rows {
		out[r.Region] += r.Arrived
	}
	return out
}
