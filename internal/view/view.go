// Package view holds a node's view of the system: the newest configuration, the
// upstreams, the failure domains that are being drained, and the other nodes.
//
// A View applies the records of a key-value store and compiles snapshots from them.
// It does no I/O and reads no clock. A record that disappears during an outage of the
// store does not mean that its owner has stopped: its lease may have expired only because
// the owner could not renew it. Such records are retained until their owners have had
// time to write them again.
package view

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Options configures a View.
type Options struct {
	// Self is the local node.
	Self model.Member
	// Regions maps failure domains to regions.
	Regions map[string]string
	// ReregistrationGrace is how long records that lapsed during an outage of the store
	// are retained after its recovery, so that their owners can write them again.
	ReregistrationGrace time.Duration
	// Policy holds the limits that snapshots carry.
	Policy Policy
}

// Policy holds the limits that apply to all entries together.
type Policy struct {
	// RetryRatio is how many retries each request adds to the retry budget, RetrySlack
	// how many retries are allowed beyond that.
	RetryRatio, RetrySlack float64
	// ColdFactor and ColdSlack limit the requests per second to a cold upstream to its
	// warm-up rate times ColdFactor, plus ColdSlack.
	ColdFactor, ColdSlack float64
	// LimitSlack is how many requests of an organisation are allowed beyond its limit.
	LimitSlack float64
}

// View is the state of one node. It is not safe for concurrent use.
type View struct {
	opt       Options
	config    *model.Config
	upstreams map[string]model.Upstream
	// drained maps each failure domain that is being drained to when its drain started.
	drained map[string]time.Time
	// nodes holds the registrations by key.
	nodes map[string]registration
	// unreachable is set while the store cannot be reached, recoveredAt is when it was
	// reached again.
	unreachable bool
	recoveredAt time.Time
	// lapsed holds when each retained record disappeared, by upstream ID or node key: the
	// records that disappeared during an outage of the store or soon after it.
	lapsed map[string]time.Time
	// removed holds the newest incarnation of each removed upstream, by upstream ID.
	removed map[string]removedIncarnation
	// versions holds the versions of the upstreams, and their rollouts, by service.
	versions map[string]*serviceVersions
	// lists caches the lists that snapshots are compiled from.
	lists listCache
}

// listCache holds lists compiled from the parts of a View; a list is nil if its part has
// changed since. Most changes concern one part, and in a large fleet sorting the others
// again takes most of the time of a snapshot.
type listCache struct {
	// ids holds the IDs of the upstreams. It has a cache of its own because most changes
	// concern an upstream that already exists and leave the IDs as they are.
	ids       []string
	upstreams []model.Upstream
	members   []model.Member
	routes    *model.Routes
}

// removedIncarnation is the last incarnation of an upstream that was removed.
type removedIncarnation struct {
	// startedAt is its model.Upstream.StartedAt.
	startedAt int64
	removedAt time.Time
}

// removedRetention is how long the last incarnation of a removed upstream is remembered.
// The store may carry out a write some seconds after its writer has given up on it, and
// such a write must not restore an earlier incarnation.
const removedRetention = time.Minute

// registration is a node's record and its key in the store.
type registration struct {
	model.Member
	key string
}

// New returns a View that holds only the local node.
func New(opt Options) *View {
	return &View{
		opt:       opt,
		upstreams: make(map[string]model.Upstream),
		drained:   make(map[string]time.Time),
		nodes:     make(map[string]registration),
		lapsed:    make(map[string]time.Time),
		removed:   make(map[string]removedIncarnation),
		versions:  make(map[string]*serviceVersions),
	}
}

// SetConfig applies a configuration if its version is higher than that of the present
// one. It reports whether it did.
func (v *View) SetConfig(c *model.Config) bool {
	if v.config != nil && c.Version <= v.config.Version {
		return false
	}
	v.config = c
	v.lists.routes = nil
	return true
}

// SetPolicy replaces the limits that snapshots carry.
func (v *View) SetPolicy(p Policy) { v.opt.Policy = p }

// Config returns the present configuration, or nil if there is none yet.
func (v *View) Config() *model.Config { return v.config }

// HasDomain reports whether a failure domain is one of Options.Regions.
func (v *View) HasDomain(domain string) bool {
	_, ok := v.opt.Regions[domain]
	return ok
}

// PutDrain records that a failure domain is being drained since now. If it already is,
// its start time stays.
func (v *View) PutDrain(domain string, now time.Time) {
	if _, ok := v.drained[domain]; !ok {
		v.drained[domain] = now
	}
}

// RemoveDrain records that a failure domain is no longer drained. Its upstreams may have
// gone cold while they had no traffic, so they are marked cold for their service's warm-up
// time.
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
			v.lists.upstreams = nil
		}
	}
}

// ReplaceDrains applies a full list of the failure domains that are being drained.
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

// PutNode adds or replaces a node's registration under its key in the store.
func (v *View) PutNode(key string, m model.Member) {
	v.nodes[key] = registration{m, key}
	v.lists.members = nil
	delete(v.lapsed, key)
}

// RemoveNode records that a registration is gone from the store. During an outage of the
// store and for ReregistrationGrace after it the registration is retained.
func (v *View) RemoveNode(key string, now time.Time) {
	if _, ok := v.nodes[key]; !ok {
		return
	}
	if v.inOutageGrace(now) {
		if _, ok := v.lapsed[key]; !ok {
			v.lapsed[key] = now
		}
		return
	}
	delete(v.nodes, key)
	v.lists.members = nil
}

// RemoveNodeNow removes a registration without a grace period. It is used when the record
// under the key no longer describes a node.
func (v *View) RemoveNodeNow(key string) {
	delete(v.nodes, key)
	v.lists.members = nil
	delete(v.lapsed, key)
}

// ReplaceNodes applies a full list of the registrations in the store, by key.
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

// MarkStoreUnreachable records that the key-value store cannot be reached.
func (v *View) MarkStoreUnreachable() { v.unreachable = true }

// MarkStoreReached records that the key-value store responds. If it was unreachable, the
// outage ended now.
func (v *View) MarkStoreReached(now time.Time) {
	if v.unreachable {
		v.recoveredAt = now
	}
	v.unreachable = false
}

// MarkStoreReachedByPeer records that another node, which follows the key-value store,
// reports that the store is reachable. No end of an outage is recorded.
func (v *View) MarkStoreReachedByPeer() { v.unreachable = false }

// SetStoreRecovered records when an outage of the key-value store ended, which this node
// may not have noticed itself. A time before the known one is ignored.
func (v *View) SetStoreRecovered(at time.Time) {
	if at.After(v.recoveredAt) {
		v.recoveredAt = at
	}
}

// inOutageGrace reports whether records may be missing because of an outage of the store
// rather than because their owners have stopped.
func (v *View) inOutageGrace(now time.Time) bool {
	return v.unreachable || !v.recoveredAt.IsZero() && now.Sub(v.recoveredAt) < v.opt.ReregistrationGrace
}

// ExpireLapsed deletes the retained upstreams and registrations once the grace period
// after an outage is over. It reports whether it deleted any.
func (v *View) ExpireLapsed(now time.Time) bool {
	if v.inOutageGrace(now) || len(v.lapsed) == 0 {
		return false
	}
	for id := range v.lapsed {
		v.deleteUpstream(id, now)
		delete(v.nodes, id)
	}
	v.lists.members = nil
	clear(v.lapsed)
	return true
}

// Retained returns the IDs of the upstreams and the keys of the registrations that are
// retained though their records are gone from the store, sorted.
func (v *View) Retained() []string { return slices.Sorted(maps.Keys(v.lapsed)) }

// StoreStatus is the state of the key-value store as a View has it.
type StoreStatus struct {
	// Unreachable is set while the store is considered unreachable. RecoveredAt is when the
	// last outage ended; zero if there was none.
	Unreachable bool      `json:"lost"`
	RecoveredAt time.Time `json:"returned,omitzero"`
	// Retained is how many upstreams and registrations are retained though their records
	// are gone.
	Retained int `json:"kept"`
}

// StoreStatus returns the state of the key-value store.
func (v *View) StoreStatus() StoreStatus {
	return StoreStatus{v.unreachable, v.recoveredAt, len(v.lapsed)}
}

// Members returns the registered nodes and the local node, ordered by ID. Of several
// registrations of one node the one with the highest incarnation is used. The list is
// shared and must not be modified.
func (v *View) Members() []model.Member {
	if v.lists.members == nil {
		v.lists.members = v.sortMembers()
	}
	return v.lists.members
}

// sortMembers returns the members ordered by ID.
func (v *View) sortMembers() []model.Member {
	byID := map[string]model.Member{v.opt.Self.ID: v.opt.Self}
	for _, n := range v.nodes {
		if known, ok := byID[n.ID]; !ok || known.Incarnation < n.Incarnation {
			byID[n.ID] = n.Member
		}
	}
	return slices.SortedFunc(maps.Values(byID), func(a, b model.Member) int { return cmp.Compare(a.ID, b.ID) })
}

// WithoutSelf returns a copy of a list of members without the local node.
func (v *View) WithoutSelf(members []model.Member) []model.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool { return m.ID == v.opt.Self.ID })
}

// sortUpstreams returns the upstreams ordered by ID.
func (v *View) sortUpstreams() []model.Upstream {
	if v.lists.ids == nil {
		v.lists.ids = slices.Sorted(maps.Keys(v.upstreams))
	}
	out := make([]model.Upstream, len(v.lists.ids))
	for i, id := range v.lists.ids {
		out[i] = v.upstreams[id]
	}
	return out
}

// Routes returns the table of the routes of the configuration, or nil while there is none.
func (v *View) Routes() *model.Routes {
	if v.config != nil && v.lists.routes == nil {
		v.lists.routes = model.NewRoutes(v.config.Routes)
	}
	return v.lists.routes
}

// Snapshot compiles a snapshot of the present state, or returns nil while there is no
// configuration.
func (v *View) Snapshot(now time.Time) *model.Snapshot {
	if v.config == nil {
		return nil
	}
	if v.lists.upstreams == nil {
		v.lists.upstreams = v.sortUpstreams()
	}
	var drains []model.Drain
	for domain, since := range v.drained {
		drains = append(drains, model.Drain{Region: v.opt.Regions[domain], Domain: domain, Start: since})
	}
	traffic, withheld := v.observeVersions(now)
	return model.CompileRouted(model.RoutedInput{
		Rollouts:    traffic,
		Withheld:    withheld,
		Self:        v.opt.Self.ID,
		Region:      v.opt.Self.Region,
		Config:      v.config,
		Routes:      v.Routes(),
		Upstreams:   v.lists.upstreams,
		Drains:      drains,
		Members:     v.Members(),
		RetryBudget: v.opt.Policy.RetryRatio,
		RetryBurst:  v.opt.Policy.RetrySlack,
		ColdBurst:   v.opt.Policy.ColdSlack,
		ColdFactor:  v.opt.Policy.ColdFactor,
		LimitSlack:  v.opt.Policy.LimitSlack,
	})
}
