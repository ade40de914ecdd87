package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/loomkeel/loomkeel/internal/agenda"
	"github.com/loomkeel/loomkeel/internal/model"
)

// This file has a fleet in virtual time: entries with their Limiters, which tell each other
// by hubs over links that delay and lose messages.

var t0 = time.Unix(1_800_000_000, 0)

const (
	reportEvery = 100 * time.Millisecond
	idleEvery   = 500 * time.Millisecond
	nearDelay   = time.Millisecond
	farDelay    = 35 * time.Millisecond
	lost        = 0.01
	// ruleWindow is the length of the windows in which a limit binds.
	ruleWindow = 5 * time.Second
	testSlack  = 20.0
)

// simNode is one entry. Only carriers get requests.
type simNode struct {
	id      int
	name    string
	domain  int
	limiter *Limiter
	dead    bool
	// island is which part of a cut fleet the node is in.
	island int
	life   int
	// shift is how far the node's clock is off.
	shift time.Duration
}

// simFleet is a fleet of one organisation with a limit.
type simFleet struct {
	rnd     *rand.Rand
	agenda  *agenda.Agenda
	nodes   []*simNode
	domains int
	perDom  int
	limit   model.Limit
	table   *model.Organisations
	// demand is in requests per second of the limit's rate; weight is each carrier's part.
	demand func(at time.Duration) float64
	weight func(node *simNode, at time.Duration) float64
	// strays is set while callers turn to entries that are cut off, whichever these are.
	strays bool
	// admitted and refused are the times of requests since t0.
	admitted, refused []time.Duration
	bytes             int
}

const (
	simDomains  = 6
	simRegions  = 3
	simCarriers = 2
)

// newSimFleet returns a fleet of n nodes in six failure domains, with two carriers in each.
func newSimFleet(seed uint64, n int, limit model.Limit) *simFleet {
	f := &simFleet{rnd: rand.New(rand.NewPCG(seed, 7)), agenda: agenda.New(t0), domains: simDomains, perDom: n / simDomains, limit: limit}
	f.table = tableOf(limit)
	for i := range f.domains * f.perDom {
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

func tableOf(limit model.Limit) *model.Organisations {
	table, err := model.NewOrganisations([]*model.Organisation{{Name: "o", Limit: limit}}, nil)
	if err != nil {
		panic(err)
	}
	return table
}

func (f *simFleet) after(d time.Duration, do func()) { f.agenda.After(d, do) }

// at schedules something at a time since t0.
func (f *simFleet) at(d time.Duration, do func()) { f.agenda.At(t0.Add(d), do) }

func (f *simFleet) since() time.Duration { return f.agenda.Now().Sub(t0) }

func (f *simFleet) run(until time.Duration) { f.agenda.RunUntil(t0.Add(until)) }

func (f *simFleet) carries(n *simNode) bool { return n.id/f.domains < simCarriers }

func (n *simNode) clock(now time.Time) time.Time { return now.Add(n.shift) }

// start begins a life of a node, which knows nothing.
func (f *simFleet) start(n *simNode) {
	n.life++
	n.dead = false
	n.limiter = NewLimiter()
	f.expect(n)
	n.limiter.Update(f.table, testSlack, n.clock(f.agenda.Now()))
	life := n.life
	var report func()
	report = func() {
		if n.dead || n.life != life {
			return
		}
		f.report(n)
		f.after(f.period(n), report)
	}
	f.after(time.Duration(f.rnd.Int64N(int64(reportEvery))), report)
}

func (f *simFleet) kill(n *simNode) { n.dead = true }

// hub returns the hub of a domain as a node sees it: the first that lives.
func (f *simFleet) hub(domain int, seenFrom *simNode) *simNode {
	for i := range f.perDom {
		h := f.nodes[i*f.domains+domain]
		if !h.dead && h.island == seenFrom.island {
			return h
		}
	}
	return nil
}

// weigh is the weight of a node: those that are no carriers have a quarter together.
func (f *simFleet) weigh(n *simNode) int {
	const carrier = 1000
	if f.carries(n) {
		return carrier
	}
	return carrier / 3 * simCarriers / (f.perDom - simCarriers)
}

func (f *simFleet) expect(n *simNode) {
	domain := 0
	for i := range f.perDom {
		domain += f.weigh(f.nodes[i*f.domains])
	}
	self := f.weigh(n)
	if f.hub(n.domain, n) != n {
		n.limiter.SetSources(self, []Source{{Name: "*", Weight: f.domains*domain - self, Complete: true}}, n.clock(f.agenda.Now()))
		return
	}
	list := []Source{{Name: "peers", Weight: domain - self}}
	for d := range f.domains {
		if d != n.domain {
			list = append(list, Source{Name: "*" + strconv.Itoa(d), Weight: domain})
		}
	}
	n.limiter.SetSources(self, list, n.clock(f.agenda.Now()))
}

// period is the time until a node's next report. One that has few requests reports seldom.
func (f *simFleet) period(n *simNode) time.Duration {
	if f.carries(n) || f.hub(n.domain, n) == n || n.limiter.InUse(n.clock(f.agenda.Now())) {
		return reportEvery
	}
	return idleEvery
}

func (f *simFleet) report(n *simNode) {
	f.expect(n)
	h := f.hub(n.domain, n)
	if h != n {
		f.tell(n, h, "peers", func(string) bool { return false })
		return
	}
	own := func(speaker string) bool { return f.named(speaker).domain == n.domain }
	for d := range f.domains {
		if r := f.hub(d, n); d != n.domain && r != nil {
			f.tell(n, r, "*"+strconv.Itoa(n.domain), own)
		}
	}
	for i := range f.perDom {
		p := f.nodes[i*f.domains+n.domain]
		if p != n && !p.dead && (f.carries(p) || p.limiter.InUse(p.clock(f.agenda.Now()))) {
			f.tell(n, p, "*", func(s string) bool { return s != p.name })
		}
	}
}

// named returns the node of a name.
func (f *simFleet) named(name string) *simNode {
	i, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(err)
	}
	return f.nodes[i]
}

func (f *simFleet) tell(from, to *simNode, source string, whose func(string) bool) {
	now := from.clock(f.agenda.Now())
	uses, covered := from.limiter.Usages(true, whose, now), f.weigh(from)+from.limiter.CoveredWeight(whose, now)
	if f.rnd.Float64() < lost || from.island != to.island {
		return
	}
	f.bytes += 60 + 9*len(uses)
	idle := f.period(from) == idleEvery
	delay := nearDelay
	if from.domain%simRegions != to.domain%simRegions {
		delay = farDelay
	}
	f.after(delay, func() {
		if !to.dead && to.island == from.island {
			to.limiter.HandleReport(Report{Reporter: from.name, Source: source, CoveredWeight: covered, Idle: idle, Last: 1<<32 - 1, Usages: uses}, to.clock(f.agenda.Now()))
		}
	})
}

// arrive has one request come, and the next one after it.
func (f *simFleet) arrive() {
	at := f.since()
	if rate := f.demand(at) * f.limit.Rate; rate > 0 {
		f.request(at)
		f.after(time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), f.arrive)
		return
	}
	f.after(10*time.Millisecond, f.arrive)
}

func (f *simFleet) request(at time.Duration) {
	total := 0.0
	for _, n := range f.nodes {
		if f.takes(n) {
			total += f.weight(n, at)
		}
	}
	x := f.rnd.Float64() * total
	for _, n := range f.nodes {
		if !f.takes(n) {
			continue
		}
		if x -= f.weight(n, at); x >= 0 {
			continue
		}
		if ok, _ := n.limiter.Take("o", n.clock(f.agenda.Now())); ok {
			f.admitted = append(f.admitted, at)
		} else {
			f.refused = append(f.refused, at)
		}
		return
	}
}

// takes reports whether a node gets requests: the carriers, and the others of a domain
// whose carriers are dead.
func (f *simFleet) takes(n *simNode) bool {
	if n.dead {
		return false
	}
	if f.carries(n) || f.strays && n.island != 0 {
		return true
	}
	for i := range simCarriers {
		if !f.nodes[i*f.domains+n.domain].dead {
			return false
		}
	}
	return n.id/f.domains < simCarriers+4
}

// worst returns the most that was admitted in a window beyond the rate and the burst.
func (f *simFleet) worst() (over float64, at time.Duration) {
	over = -1
	first := 0
	for last, t := range f.admitted {
		for t-f.admitted[first] > ruleWindow {
			first++
		}
		if x := float64(last-first+1) - (f.limit.Rate*ruleWindow.Seconds() + f.limit.Burst); x > over {
			over, at = x, t
		}
	}
	return over, at
}

// count returns how many times lie in a span.
func count(times []time.Duration, from, to time.Duration) float64 {
	n := 0.0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// beyond returns how many requests of a span one token bucket would have refused that all
// entries asked at once.
func (f *simFleet) beyond(from, to time.Duration) float64 {
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

func (f *simFleet) String() string {
	over, at := f.worst()
	return fmt.Sprintf("%d nodes, limit %v: admitted %d, refused %d, at most %.0f over the limit at %v", len(f.nodes), f.limit, len(f.admitted), len(f.refused), over, at)
}
