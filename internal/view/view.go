// Package view holds what a node believes of the world outside it: the newest
// configuration, the upstreams, the failure domains that are being emptied, and
// the other nodes.
//
// A View takes in what a key-value service tells and compiles snapshots. It
// does no I/O and reads no clock. It knows that silence of that service is no
// sign of death: entries that lapse while the service is away are kept until
// their owners had time to write them again.
package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Options sets up a View.
type Options struct {
	// Self is the own node.
	Self model.Member
	// Regions maps failure domains to regions.
	Regions map[string]string
	// Rejoin is how long entries that lapsed while the service was away have to
	// come back after its return.
	Rejoin time.Duration
	// Policy bounds what all entries may do together.
	Policy Policy
}

// Policy bounds what all entries may do together.
type Policy struct {
	// RetryRatio is how many retries each request earns, RetrySlack how many may
	// come on top.
	RetryRatio, RetrySlack float64
	// ColdFactor and ColdSlack bound the requests to a cold upstream in a second
	// by its rate times the one plus the other.
	ColdFactor, ColdSlack float64
	// LimitSlack is how many requests of an organisation may run beyond its limit.
	LimitSlack float64
}

// View is the state. It is not safe for concurrent use.
type View struct {
	opt       Options
	config    *model.Config
	upstreams map[string]model.Upstream
	drained   map[string]time.Time
	nodes     map[string]node
	// lost is set while the service cannot be reached, returned when it was
	// reached again.
	lost     bool
	returned time.Time
	// lapsed are the entries that went while the service was away or soon after,
	// by when.
	lapsed map[string]time.Time
	// ended are the newest lives of upstreams that are gone.
	ended map[string]ended
	// sorted are the lists that snapshots are made of, as of the last change of each.
	sorted sorted
}

// sorted holds what is compiled from the parts of a View, each nil when that part has
// changed since. Most changes concern one part, and in a large fleet ordering the others
// anew takes most of the time of a snapshot.
type sorted struct {
	// ids are those of the upstreams: most changes are of an upstream that is there.
	ids       []string
	upstreams []model.Upstream
	members   []model.Member
	routes    *model.Routes
}

// ended is a life of an upstream that is over.
type ended struct {
	born int64
	at   time.Time
}

// rememberEnded is how long the end of an upstream's life is remembered. A write to the
// service that its caller gave up on may still be done some seconds later, and must not
// bring back an earlier life than the last.
const rememberEnded = time.Minute

// node is a registration of a node.
type node struct {
	model.Member
	key string
}

// New returns a View that knows only the own node.
func New(opt Options) *View {
	return &View{
		opt:       opt,
		upstreams: make(map[string]model.Upstream),
		drained:   make(map[string]time.Time),
		nodes:     make(map[string]node),
		lapsed:    make(map[string]time.Time),
		ended:     make(map[string]ended),
	}
}

// SetConfig takes in a configuration if it is newer than the one in force. It
// reports whether it was.
func (v *View) SetConfig(c *model.Config) bool {
	if v.config != nil && c.Version <= v.config.Version {
		return false
	}
	v.config = c
	v.sorted.routes = nil
	return true
}

// SetPolicy changes the bounds.
func (v *View) SetPolicy(p Policy) { v.opt.Policy = p }

// Config returns the configuration in force, or nil.
func (v *View) Config() *model.Config { return v.config }

// HasDomain reports whether a failure domain exists.
func (v *View) HasDomain(domain string) bool {
	_, ok := v.opt.Regions[domain]
	return ok
}

// PutUpstream takes in an upstream's entry. It reports whether it does: the entry of a
// life before the one that is known changes nothing.
func (v *View) PutUpstream(u model.Upstream) bool {
	if known, ok := v.upstreams[u.ID]; ok && known.RestartOf(&u) {
		return false
	}
	if u.StartedAt > 0 && u.StartedAt < v.ended[u.ID].born {
		return false
	}
	u.Region = v.opt.Regions[u.Domain]
	if _, known := v.upstreams[u.ID]; !known {
		v.sorted.ids = nil
	}
	v.upstreams[u.ID] = u
	v.sorted.upstreams = nil
	delete(v.lapsed, u.ID)
	delete(v.ended, u.ID)
	return true
}

// DropUpstream forgets an upstream at once, because what stands in place of its entry
// names none.
func (v *View) DropUpstream(id string, now time.Time) {
	v.end(id, now)
	delete(v.lapsed, id)
}

// end forgets an upstream but for when its last life began.
func (v *View) end(id string, now time.Time) {
	u, ok := v.upstreams[id]
	if !ok {
		return
	}
	delete(v.upstreams, id)
	v.sorted.ids, v.sorted.upstreams = nil, nil
	maps.DeleteFunc(v.ended, func(_ string, e ended) bool { return now.Sub(e.at) >= rememberEnded })
	if u.StartedAt > 0 {
		v.ended[id] = ended{u.StartedAt, now}
	}
}

// RemoveUpstream records that an upstream's entry is gone. It reports whether the
// upstream is: while the service was just away, its entry may have lapsed, and
// the upstream is kept until it had time to come back, unless it had said that it
// leaves.
func (v *View) RemoveUpstream(id string, now time.Time) bool {
	u, ok := v.upstreams[id]
	if !ok {
		return false
	}
	if v.unsettled(now) && !u.Leaving {
		if _, ok := v.lapsed[id]; !ok {
			v.lapsed[id] = now
		}
		return false
	}
	v.end(id, now)
	return true
}

// Departures are the upstreams whose entries went, ordered by id.
type Departures struct {
	// Gone are forgotten, Kept stay until their owners had time to come back.
	Gone, Kept []string
}

// ReplaceUpstreams takes in all upstreams' entries at once. It returns those of
// which there are none any more.
func (v *View) ReplaceUpstreams(all []model.Upstream, now time.Time) Departures {
	listed := make(map[string]bool, len(all))
	for _, u := range all {
		listed[u.ID] = true
		v.PutUpstream(u)
	}
	var out Departures
	for _, id := range slices.Sorted(maps.Keys(v.upstreams)) {
		switch {
		case listed[id]:
		case v.RemoveUpstream(id, now):
			out.Gone = append(out.Gone, id)
		default:
			out.Kept = append(out.Kept, id)
		}
	}
	return out
}

// PutDrain records that a failure domain is being emptied.
func (v *View) PutDrain(domain string, now time.Time) {
	if _, ok := v.drained[domain]; !ok {
		v.drained[domain] = now
	}
}

// RemoveDrain records that a failure domain is in use again. Its upstreams may
// have turned cold in the meantime, so they are warmed up anew.
func (v *View) RemoveDrain(domain string, now time.Time) {
	if _, ok := v.drained[domain]; !ok {
		return
	}
	delete(v.drained, domain)
	if v.config == nil {
		return
	}
	for id, u := range v.upstreams {
		if u.Domain != domain {
			continue
		}
		cold := now.Add(v.config.Services[u.Service].Warmup)
		if u.ColdUntil.Before(cold) {
			u.ColdUntil = cold
			v.upstreams[id] = u
			v.sorted.upstreams = nil
		}
	}
}

// ReplaceDrains takes in all failure domains that are being emptied.
func (v *View) ReplaceDrains(domains []string, now time.Time) {
	for domain := range v.drained {
		if !slices.Contains(domains, domain) {
			v.RemoveDrain(domain, now)
		}
	}
	for _, domain := range domains {
		v.PutDrain(domain, now)
	}
}

// PutNode takes in a node's registration under a key.
func (v *View) PutNode(key string, m model.Member) {
	v.nodes[key] = node{m, key}
	v.sorted.members = nil
	delete(v.lapsed, key)
}

// RemoveNode records that a registration is gone. It is kept for a while if the
// service was just away.
func (v *View) RemoveNode(key string, now time.Time) {
	if _, ok := v.nodes[key]; !ok {
		return
	}
	if v.unsettled(now) {
		if _, ok := v.lapsed[key]; !ok {
			v.lapsed[key] = now
		}
		return
	}
	delete(v.nodes, key)
	v.sorted.members = nil
}

// DropNode forgets a registration at once, because what stands in its place names no node.
func (v *View) DropNode(key string) {
	delete(v.nodes, key)
	v.sorted.members = nil
	delete(v.lapsed, key)
}

// ReplaceNodes takes in all registrations at once.
func (v *View) ReplaceNodes(all map[string]model.Member, now time.Time) {
	for key, m := range all {
		v.PutNode(key, m)
	}
	for key := range v.nodes {
		if _, ok := all[key]; !ok {
			v.RemoveNode(key, now)
		}
	}
}

// ServiceLost records that the key-value service cannot be reached.
func (v *View) ServiceLost() { v.lost = true }

// ServiceReached records that the key-value service answers.
func (v *View) ServiceReached(now time.Time) {
	if v.lost {
		v.returned = now
	}
	v.lost = false
}

// ServiceVouched records that another node, which follows the key-value service, says
// that it is there.
func (v *View) ServiceVouched() { v.lost = false }

// ServiceReturned records when the key-value service came back after it was away,
// though this node need not have noticed.
func (v *View) ServiceReturned(at time.Time) {
	if at.After(v.returned) {
		v.returned = at
	}
}

// unsettled reports whether entries may be missing because the service is or was
// away, rather than because their owners are.
func (v *View) unsettled(now time.Time) bool {
	return v.lost || !v.returned.IsZero() && now.Sub(v.returned) < v.opt.Rejoin
}

// Tick forgets the lapsed entries whose owners did not come back in time. It
// reports whether anything changed.
func (v *View) Tick(now time.Time) bool {
	if v.unsettled(now) || len(v.lapsed) == 0 {
		return false
	}
	for id := range v.lapsed {
		v.end(id, now)
		delete(v.nodes, id)
	}
	v.sorted.members = nil
	clear(v.lapsed)
	return true
}

// Kept returns the upstreams and registrations whose entries went and that stay for
// now, ordered.
func (v *View) Kept() []string { return slices.Sorted(maps.Keys(v.lapsed)) }

// Service is what a View believes of the key-value service.
type Service struct {
	// Lost is set while it is taken to be away, Returned is when it was taken to be
	// back; zero if it never was away.
	Lost     bool      `json:"lost"`
	Returned time.Time `json:"returned,omitzero"`
	// Kept is how many upstreams and registrations stay though their entries went.
	Kept int `json:"kept"`
}

// Service returns what is believed of the key-value service.
func (v *View) Service() Service { return Service{v.lost, v.returned, len(v.lapsed)} }

// Members returns the nodes that are live, the own one among them, ordered by id.
// Of two registrations of one node the newer counts. The caller must not change the list.
func (v *View) Members() []model.Member {
	if v.sorted.members == nil {
		v.sorted.members = v.sortMembers()
	}
	return v.sorted.members
}

func (v *View) sortMembers() []model.Member {
	byID := map[string]model.Member{v.opt.Self.ID: v.opt.Self}
	for _, n := range v.nodes {
		if known, ok := byID[n.ID]; !ok || known.Incarnation < n.Incarnation {
			byID[n.ID] = n.Member
		}
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b model.Member) int { return cmp.Compare(a.ID, b.ID) })
}

// Others returns members without the own one.
func (v *View) Others(members []model.Member) []model.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool { return m.ID == v.opt.Self.ID })
}

// sortUpstreams returns the upstreams, ordered by id.
func (v *View) sortUpstreams() []model.Upstream {
	if v.sorted.ids == nil {
		v.sorted.ids = slices.Sorted(maps.Keys(v.upstreams))
	}
	out := make([]model.Upstream, len(v.sorted.ids))
	for i, id := range v.sorted.ids {
		out[i] = v.upstreams[id]
	}
	return out
}

// Snapshot compiles what is known, or returns nil while there is no
// configuration.
func (v *View) Snapshot() *model.Snapshot {
	if v.config == nil {
		return nil
	}
	if v.sorted.upstreams == nil {
		v.sorted.upstreams = v.sortUpstreams()
	}
	if v.sorted.routes == nil {
		v.sorted.routes = model.NewRoutes(v.config.Routes)
	}
	var drains []model.Drain
	for domain, since := range v.drained {
		drains = append(drains, model.Drain{Region: v.opt.Regions[domain], Domain: domain, Start: since})
	}
	return model.CompileRouted(model.RoutedInput{
		Self:        v.opt.Self.ID,
		Region:      v.opt.Self.Region,
		Config:      v.config,
		Routes:      v.sorted.routes,
		Upstreams:   v.sorted.upstreams,
		Drains:      drains,
		Members:     v.Members(),
		RetryBudget: v.opt.Policy.RetryRatio,
		RetryBurst:  v.opt.Policy.RetrySlack,
		ColdBurst:   v.opt.Policy.ColdSlack,
		ColdFactor:  v.opt.Policy.ColdFactor,
		LimitSlack:  v.opt.Policy.LimitSlack,
	})
}
