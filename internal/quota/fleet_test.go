package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/loomkeel/loomkeel/internal/eventsim"
	"github.com/loomkeel/loomkeel/internal/model"
)

// This file simulates a fleet in virtual time: entries whose Limiters exchange reports through
// hubs, over links that delay and lose messages.

var t0 = time.Unix(1_800_000_000, 0)

const (
	reportInterval     = 100 * time.Millisecond
	idleReportInterval = 500 * time.Millisecond
	// sameRegionDelay and crossRegionDelay are the one-way delays of the links, lossRate is the
	// share of messages that are lost.
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 35 * time.Millisecond
	lossRate         = 0.01
	// limitWindow is the length of the windows over which a limit is checked.
	limitWindow = 5 * time.Second
	testSlack   = 20.0
)

// simNode is one simulated entry.
type simNode struct {
	id      int
	name    string
	domain  int
	limiter *Limiter
	dead    bool
	// partition is the part of a partitioned fleet that the node is in.
	partition int
	// incarnation counts the starts of the node.
	incarnation int
	// clockOffset is the error of the node's clock.
	clockOffset time.Duration
	// registration is the node's registration by its own count, nil if it always holds.
	registration *model.Registration
	// departed has the nodes that the node no longer lists, and since when.
	departed map[*simNode]time.Time
}

// lists reports whether another node is a member of the fleet in the node's view.
func (n *simNode) lists(other *simNode) bool {
	_, gone := n.departed[other]
	return !gone
}

// delist removes another node from the node's list of members at a time, list puts it back.
func (n *simNode) delist(other *simNode, now time.Time) {
	if n.departed == nil {
		n.departed = make(map[*simNode]time.Time)
	}
	n.departed[other] = now
}

func (n *simNode) list(other *simNode) { delete(n.departed, other) }

// simFleet is a simulated fleet that serves one organisation with a limit.
type simFleet struct {
	rnd       *rand.Rand
	scheduler *eventsim.Scheduler
	nodes     []*simNode
	domains   int
	perDomain int
	limit     model.Limit
	table     *model.Organisations
	// demand returns the request rate as a multiple of the limit's rate, weight each serving
	// node's part of it.
	demand func(at time.Duration) float64
	weight func(node *simNode, at time.Duration) float64
	// isolatedServe is set if every isolated node receives requests, not only serving nodes.
	isolatedServe bool
	// admitted and refused are the times of requests since t0.
	admitted, refused []time.Duration
	// bytes is the approximate size of all reports that were not lost.
	bytes int
}

const (
	simDomains = 6
	simRegions = 3
	// simServing is the number of nodes of each failure domain that receive requests.
	simServing = 2
)

// newSimFleet returns a fleet of n nodes in six failure domains, with two serving nodes in each.
func newSimFleet(seed uint64, n int, limit model.Limit) *simFleet {
	f := &simFleet{rnd: rand.New(rand.NewPCG(seed, 7)), scheduler: eventsim.New(t0), domains: simDomains, perDomain: n / simDomains, limit: limit}
	f.table = organisationTable(limit)
	for i := range f.domains * f.perDomain {
		node := &simNode{id: i, name: "n" + strconv.Itoa(i), domain: i % f.domains}
		f.nodes = append(f.nodes, node)
	}
	f.demand = func(time.Duration) float64 { return 0.62 }
	f.weight = func(*simNode, time.Duration) float64 { return 1 }
	for _, node := range f.nodes {
		f.start(node)
	}
	f.after(0, f.arrive)
	return f
}

// organisationTable returns a table of one organisation named o.
func organisationTable(limit model.Limit) *model.Organisations {
	table, err := model.NewOrganisations([]*model.Organisation{{Name: "o", Limit: limit}}, nil)
	if err != nil {
		panic(err)
	}
	return table
}

// after schedules a call after a delay.
func (f *simFleet) after(d time.Duration, do func()) { f.scheduler.After(d, do) }

// at schedules a call at a time since t0.
func (f *simFleet) at(d time.Duration, do func()) { f.scheduler.At(t0.Add(d), do) }

// elapsed returns the virtual time since t0.
func (f *simFleet) elapsed() time.Duration { return f.scheduler.Now().Sub(t0) }

// run runs the simulation until a time since t0.
func (f *simFleet) run(until time.Duration) { f.scheduler.RunUntil(t0.Add(until)) }

// serves reports whether a node is one of the serving nodes of its failure domain.
func (f *simFleet) serves(n *simNode) bool { return n.id/f.domains < simServing }

// clock returns the time that the node's clock shows.
func (n *simNode) clock(now time.Time) time.Time { return now.Add(n.clockOffset) }

// start starts a node with an empty Limiter.
func (f *simFleet) start(n *simNode) {
	n.incarnation++
	n.dead = false
	n.limiter = NewLimiter()
	f.setSources(n)
	n.limiter.Update(f.table, testSlack, n.clock(f.scheduler.Now()))
	incarnation := n.incarnation
	var report func()
	report = func() {
		if n.dead || n.incarnation != incarnation {
			return
		}
		f.report(n)
		f.after(f.interval(n), report)
	}
	f.after(time.Duration(f.rnd.Int64N(int64(reportInterval))), report)
}

// kill stops a node without notice.
func (f *simFleet) kill(n *simNode) { n.dead = true }

// hub returns the hub of a domain from a node's view: the first live node that it can reach, or
// nil.
func (f *simFleet) hub(domain int, viewer *simNode) *simNode {
	for i := range f.perDomain {
		h := f.nodes[i*f.domains+domain]
		if !h.dead && h.partition == viewer.partition && viewer.lists(h) {
			return h
		}
	}
	return nil
}

// nodeWeight returns the weight of a node. The nodes that do not serve have a quarter of the
// total weight together.
func (f *simFleet) nodeWeight(n *simNode) int {
	const serving = 1000
	if f.serves(n) {
		return serving
	}
	return serving / 3 * simServing / (f.perDomain - simServing)
}

// domainWeight returns the weight of the nodes of a domain that a viewer lists, without the viewer.
func (f *simFleet) domainWeight(domain int, viewer *simNode) int {
	total := 0
	for i := range f.perDomain {
		if p := f.nodes[i*f.domains+domain]; p != viewer && viewer.lists(p) {
			total += f.nodeWeight(p)
		}
	}
	return total
}

// setSources sets the sources of a node's Limiter for its present role, hub or not.
func (f *simFleet) setSources(n *simNode) {
	now := n.clock(f.scheduler.Now())
	departed := Source{Name: "departed"}
	for p, since := range n.departed {
		if now.Sub(since) < DepartureHold {
			departed.Weight += f.nodeWeight(p)
		}
	}
	others, list := 0, []Source{{Name: "peers", Weight: f.domainWeight(n.domain, n)}}
	for d := range f.domains {
		others += f.domainWeight(d, n)
		if d != n.domain {
			list = append(list, Source{Name: "*" + strconv.Itoa(d), Weight: f.domainWeight(d, n)})
		}
	}
	if f.hub(n.domain, n) != n {
		list = []Source{{Name: "*", Weight: others, Complete: true}}
	}
	n.limiter.SetSources(Self{Weight: f.nodeWeight(n), Registration: n.registration}, append(list, departed), now)
}

// interval returns the time until a node's next report, which is longer for a node with few
// requests.
func (f *simFleet) interval(n *simNode) time.Duration {
	if f.serves(n) || f.hub(n.domain, n) == n || n.limiter.InUse(n.clock(f.scheduler.Now())) {
		return reportInterval
	}
	return idleReportInterval
}

// report sends a node's reports: to its hub, or from a hub to the other hubs and to the nodes of
// its failure domain.
func (f *simFleet) report(n *simNode) {
	f.setSources(n)
	h := f.hub(n.domain, n)
	if h != n {
		f.send(n, h, "peers", func(string) bool { return false })
		return
	}
	ownDomain := func(reporter string) bool { return f.nodeNamed(reporter).domain == n.domain }
	for d := range f.domains {
		if r := f.hub(d, n); d != n.domain && r != nil {
			f.send(n, r, "*"+strconv.Itoa(n.domain), ownDomain)
		}
	}
	for i := range f.perDomain {
		p := f.nodes[i*f.domains+n.domain]
		if p != n && !p.dead && (f.serves(p) || p.limiter.InUse(p.clock(f.scheduler.Now()))) {
			f.send(n, p, "*", func(s string) bool { return s != p.name })
		}
	}
}

// nodeNamed returns the node with a name.
func (f *simFleet) nodeNamed(name string) *simNode {
	i, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(err)
	}
	return f.nodes[i]
}

// send sends a report of a node's own usage and of that from the included reporters.
func (f *simFleet) send(from, to *simNode, source string, include func(string) bool) {
	now := from.clock(f.scheduler.Now())
	usages, covered := from.limiter.Usages(true, include, now), f.nodeWeight(from)+from.limiter.CoveredWeight(include, now)
	if f.rnd.Float64() < lossRate || from.partition != to.partition || !from.lists(to) {
		return
	}
	f.bytes += 60 + 9*len(usages)
	idle := f.interval(from) == idleReportInterval
	delay := sameRegionDelay
	if from.domain%simRegions != to.domain%simRegions {
		delay = crossRegionDelay
	}
	f.after(delay, func() {
		if !to.dead && to.partition == from.partition && to.lists(from) {
			to.limiter.ApplyReport(Report{Reporter: from.name, Source: source, CoveredWeight: covered, Idle: idle, Last: 1<<32 - 1, Usages: usages}, to.clock(f.scheduler.Now()))
		}
	})
}

// arrive issues one request and schedules the next one.
func (f *simFleet) arrive() {
	at := f.elapsed()
	if rate := f.demand(at) * f.limit.Rate; rate > 0 {
		f.request(at)
		f.after(time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), f.arrive)
		return
	}
	f.after(10*time.Millisecond, f.arrive)
}

// request sends one request to a node chosen at random by weight, and records the outcome.
func (f *simFleet) request(at time.Duration) {
	total := 0.0
	for _, n := range f.nodes {
		if f.receives(n) {
			total += f.weight(n, at)
		}
	}
	x := f.rnd.Float64() * total
	for _, n := range f.nodes {
		if !f.receives(n) {
			continue
		}
		if x -= f.weight(n, at); x >= 0 {
			continue
		}
		if ok, _ := n.limiter.Take("o", n.clock(f.scheduler.Now())); ok {
			f.admitted = append(f.admitted, at)
		} else {
			f.refused = append(f.refused, at)
		}
		return
	}
}

// receives reports whether a node receives requests: a serving node, or one of four others of a
// domain whose serving nodes are all dead.
func (f *simFleet) receives(n *simNode) bool {
	if n.dead {
		return false
	}
	if f.serves(n) || f.isolatedServe && n.partition != 0 {
		return true
	}
	for i := range simServing {
		if !f.nodes[i*f.domains+n.domain].dead {
			return false
		}
	}
	return n.id/f.domains < simServing+4
}

// maxExcess returns the largest number of requests that were admitted in a window beyond the
// rate and the burst, and the end of that window.
func (f *simFleet) maxExcess() (over float64, at time.Duration) {
	over = -1
	first := 0
	for last, t := range f.admitted {
		for t-f.admitted[first] > limitWindow {
			first++
		}
		if x := float64(last-first+1) - (f.limit.Rate*limitWindow.Seconds() + f.limit.Burst); x > over {
			over, at = x, t
		}
	}
	return over, at
}

// count returns how many of the times lie in the half-open interval [from, to).
func count(times []time.Duration, from, to time.Duration) float64 {
	n := 0.0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// refusedByOneBucket returns how many of the requests in [from, to) would have been refused by a
// single token bucket that all entries use.
func (f *simFleet) refusedByOneBucket(from, to time.Duration) float64 {
	all := slices.Sorted(slices.Values(slices.Concat(f.admitted, f.refused)))
	level, last, refused := f.limit.Burst, time.Duration(0), 0.0
	for _, at := range all {
		level = min(f.limit.Burst, level+f.limit.Rate*(at-last).Seconds())
		last = at
		switch {
		case level >= 1:
			level--
		case at >= from && at < to:
			refused++
		}
	}
	return refused
}

// String summarises the outcome of the simulation.
func (f *simFleet) String() string {
	over, at := f.maxExcess()
	return fmt.Sprintf("%d nodes, limit %v: admitted %d, refused %d, at most %.0f over the limit at %v", len(f.nodes), f.limit, len(f.admitted), len(f.refused), over, at)
}
