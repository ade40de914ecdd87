package fairshare

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/demand"
	"github.com/loomkeel/loomkeel/internal/overload"
)

const (
	// planTTL is how long a plan stays in force without an update, and how old the demand may be that
	// it is made from. Without a plan all requests are admitted.
	planTTL = time.Second
	// arrivalWeight is the weight of an update in the mean rates of arrivals.
	arrivalWeight = 0.25
	// waitingWeight is the weight of an update in the mean number of waiting requests.
	waitingWeight = 0.5
	// maxLanes bounds the keys whose counts are kept; those without a part are dropped beyond it.
	maxLanes = 4 * maxRanks * (maxOrganisations + 1)
)

// Gate admits to each rank and organisation the part of its requests that the plan grants it. While
// half of the slots are idle it admits all requests at the cost of an atomic read. It implements overload.Gate
// and is safe for concurrent use.
type Gate struct {
	// seed makes the credits of the entries differ.
	seed uint32
	plan atomic.Pointer[activePlan]

	// mu guards the fields below; Admit doesn't take it.
	mu       sync.Mutex
	estimate estimate
	lanes    map[Key]*lane
	ranks    map[int]*rankState
	last     Status
	// waiting is the mean number of requests that wait at all entries.
	waiting float64
}

// activePlan is a plan in force. It has no lanes while room may become short.
type activePlan struct {
	lanes map[Key]*lane
	ranks map[int]*rankState
	last  int
	until time.Time
}

// lane admits a part of the requests with one key.
type lane struct {
	mu   sync.Mutex
	part float64
	// credit is the part of a request that is due to be admitted. A request is admitted once it
	// reaches 1, so that of any number of requests the part is kept exactly.
	credit float64
	counts Counts
}

// rankState is the state of one rank at this entry.
type rankState struct {
	mu      sync.Mutex
	returns returns
	usual   usualTime
	// arrivals counts the requests since the last update. own and fleet are the mean rates at this
	// entry and at all entries, per second.
	arrivals   float64
	own, fleet float64
}

// NewGate returns a Gate without a plan. self identifies the entry.
func NewGate(self uint32) *Gate {
	return &Gate{seed: self, lanes: make(map[Key]*lane), ranks: make(map[int]*rankState)}
}

// Active reports whether Admit needs to be called.
func (g *Gate) Active() bool { return g.plan.Load() != nil }

// Admit implements overload.Gate.
func (g *Gate) Admit(now time.Time, r overload.Request) overload.Verdict {
	p := g.plan.Load()
	if p == nil || now.After(p.until) {
		return overload.Verdict{}
	}
	rank := p.ranks[min(r.Rank, p.last)]
	if rank == nil {
		return overload.Verdict{}
	}
	left := r.Deadline.Sub(now)
	elapsed := rank.arrive(r, left)
	l := p.lane(r)
	if l == nil || l.take() {
		return overload.Verdict{}
	}
	switch returned, spare := rank.takeKept(now, elapsed); {
	case returned:
		l.count(func(c *Counts) { c.Kept++ })
		return overload.Verdict{}
	case spare:
		l.count(func(c *Counts) { c.Admitted++ })
		return overload.Verdict{}
	}
	retryAfter := rank.offer(now, left, r.Objective)
	l.count(func(c *Counts) {
		c.Refused++
		if retryAfter > 0 {
			c.Promised++
		}
	})
	return overload.Verdict{Refused: true, RetryAfter: retryAfter}
}

// lane returns the lane of a request, nil if the plan grants all that it has room for.
func (p *activePlan) lane(r overload.Request) *lane {
	key := Key{min(r.Rank, p.last), r.Organisation}
	if l := p.lanes[key]; l != nil {
		return l
	}
	key.Organisation = 0
	return p.lanes[key]
}

// take reports whether the lane's part admits one more request.
func (l *lane) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Asked++
	l.credit += l.part
	if l.credit < 1-creditTolerance {
		return false
	}
	l.credit = max(0, l.credit-1)
	l.counts.Admitted++
	return true
}

// creditTolerance makes up for rounding when parts are added.
const creditTolerance = 1e-9

func (l *lane) count(change func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// arrive counts a request with this much time left, and returns how long it was under way before.
func (s *rankState) arrive(r overload.Request, left time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals++
	return s.usual.elapsed(r.Objective, left)
}

// takeKept reports whether room is kept for a request because it is a promised return, or because
// promised returns did not come.
func (s *rankState) takeKept(now time.Time, elapsed time.Duration) (returned, spare bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.returns.admit(now, elapsed) {
		return true, false
	}
	return false, s.returns.takeSpare(now)
}

func (s *rankState) offer(now time.Time, left, objective time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returns.offer(now, left, objective)
}

// Input is what a plan is made from.
type Input struct {
	// Room is the room of the service. Its Work must be the mean over all entries: parts differ between
	// entries otherwise.
	Room balance.Room
	// Waiting is the number of requests that wait at this entry for an upstream.
	Waiting int
	// Objective is the shortest latency objective of the requests; 0 if there is none.
	Objective time.Duration
	// Rows is the demand for the service over all entries, ReportedAt the time of the last report in it.
	Rows       []demand.Row
	ReportedAt time.Time
	// Organisations is the number of configured organisations.
	Organisations int
}

// Update makes a new plan. It is to be called every Interval. It returns whether the service is short
// of room, and whether that has changed.
func (g *Gate) Update(now time.Time, in Input) (short, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	was := g.estimate.short
	claims := g.claims(in)
	demand := 0.0
	for _, c := range claims {
		demand += c.Slots
	}
	if now.Sub(in.ReportedAt) > planTTL || !(in.Room.Slots > 0) || !(in.Room.Busy >= 0) || !differ(claims) {
		g.estimate.short, g.estimate.steps = false, 0
		g.plan.Store(nil)
		return false, was
	}
	in.Room.Busy += g.waitingAtAll(in.Waiting)
	share := waitShare
	if organisationsCompete(claims) {
		share = competingWaitShare
	}
	g.estimate.meant = meantPerSlot(in.Room.Work, in.Objective, share)
	room := g.estimate.update(in.Room.Slots, in.Room.Busy, demand)
	g.last = Status{Short: g.estimate.short, Slots: in.Room.Slots, Busy: in.Room.Busy, Room: room, Demand: demand, Correction: g.estimate.correction}
	idle := in.Room.Busy < endUtilisation*in.Room.Slots
	switch {
	case idle:
		g.plan.Store(nil)
		return g.estimate.short, was != g.estimate.short
	case !g.estimate.short:
		g.watch(now, claims)
		return false, was
	}
	plan := Divide(room, claims, in.Organisations)
	if in.Room.Busy >= queuedUtilisation*in.Room.Slots {
		plan.Returns = nil
	}
	g.apply(now, plan, in.Room.Work)
	return true, !was
}

// waitingAtAll returns the estimated number of requests that wait at all entries, by those that wait at
// this one and its part of the arrivals.
func (g *Gate) waitingAtAll(here int) float64 {
	own, fleet := 0.0, 0.0
	for _, s := range g.ranks {
		own += s.own
		fleet += s.fleet
	}
	waiting := float64(here)
	if own > 0 {
		waiting *= max(1, fleet/own)
	}
	g.waiting += waitingWeight * (waiting - g.waiting)
	return g.waiting
}

// differ reports whether there is demand of more than one rank or organisation.
func differ(claims []Claim) bool {
	for _, c := range claims {
		if c.Slots > 0 && c.Key != claims[0].Key {
			return true
		}
	}
	return false
}

// organisationsCompete reports whether several organisations send requests of one rank.
func organisationsCompete(claims []Claim) bool {
	first := make(map[int]uint32)
	for _, c := range claims {
		if o, ok := first[c.Rank]; ok && o != c.Organisation {
			return true
		}
		first[c.Rank] = c.Organisation
	}
	return false
}

// watch lets the gate learn how much time requests have left, so that returns are told from first
// attempts once room is short. All requests are admitted.
func (g *Gate) watch(now time.Time, claims []Claim) {
	p := &activePlan{ranks: make(map[int]*rankState), last: lastRank(claims), until: now.Add(planTTL)}
	for _, c := range claims {
		p.ranks[c.Rank] = g.rank(c.Rank)
	}
	g.plan.Store(p)
}

// claims returns the demand in slots by rank and organisation, over all regions.
func (g *Gate) claims(in Input) []Claim {
	rates := make(map[int]float64)
	claims := make([]Claim, 0, len(in.Rows))
	for _, row := range in.Rows {
		if !(row.Arrived > 0) || math.IsInf(row.Arrived, 0) {
			continue
		}
		rates[row.Rank] += row.Arrived
		claims = append(claims, Claim{Key{row.Rank, row.Organisation}, row.Arrived * in.Room.Work.Seconds()})
	}
	if !g.Active() {
		return claims
	}
	for rank := range rates {
		g.rank(rank)
	}
	for rank, s := range g.ranks {
		s.measure(rates[rank])
	}
	return claims
}

func (g *Gate) rank(rank int) *rankState {
	s := g.ranks[rank]
	if s == nil {
		s = &rankState{usual: make(usualTime)}
		g.ranks[rank] = s
	}
	return s
}

// measure takes in the rate at which requests arrive at all entries, and those that have arrived at
// this one since the last call.
func (s *rankState) measure(fleet float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own += arrivalWeight * (s.arrivals/Interval.Seconds() - s.own)
	s.fleet += arrivalWeight * (fleet - s.fleet)
	s.arrivals = 0
}

// apply puts a plan into force. work is the mean work of a request.
func (g *Gate) apply(now time.Time, plan Plan, work time.Duration) {
	active := &activePlan{
		lanes: make(map[Key]*lane, len(plan.Parts)), ranks: make(map[int]*rankState),
		last: plan.LastRank, until: now.Add(planTTL),
	}
	for key, part := range plan.Parts {
		l := g.lane(key)
		l.mu.Lock()
		l.part = part
		l.mu.Unlock()
		active.lanes[key] = l
		active.ranks[key.Rank] = g.rank(key.Rank)
	}
	for rank, s := range active.ranks {
		s.setReturns(plan.Returns[rank], work, now)
	}
	g.dropLanes(active.lanes)
	g.plan.Store(active)
}

// setReturns sets the slots that all entries keep for returns. This entry keeps its part of the
// arrivals of them.
func (s *rankState) setReturns(slots float64, work time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := 0.0
	if s.fleet > 0 && work > 0 {
		rate = slots / work.Seconds() * min(1, s.own/s.fleet)
	}
	s.returns.setRate(rate, now)
}

// lane returns the lane of a key. Its first credit differs between entries, so that entries that see
// few requests each don't all refuse their first ones.
func (g *Gate) lane(key Key) *lane {
	l := g.lanes[key]
	if l == nil {
		l = &lane{credit: firstCredit(g.seed, key)}
		g.lanes[key] = l
	}
	return l
}

// firstCredit returns a number from 0 to 1 that is spread evenly over entries and keys.
func firstCredit(seed uint32, key Key) float64 {
	const odd = 0x9e3779b1
	h := (seed ^ key.Organisation) * odd
	h = (h ^ h>>15 ^ uint32(key.Rank)) * odd
	return float64(h^h>>13) / (1 << 32)
}

// dropLanes drops lanes that are not in use while there are too many.
func (g *Gate) dropLanes(used map[Key]*lane) {
	if len(g.lanes) <= maxLanes {
		return
	}
	for key := range g.lanes {
		if used[key] == nil {
			delete(g.lanes, key)
		}
	}
}
