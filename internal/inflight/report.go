// Package inflight exchanges reports between entries: the requests that each has in flight
// at each upstream, requests that crashed upstreams, the use of organisations' limits, and
// the limits of upstreams.
package inflight

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/quota"
	"github.com/loomkeel/loomkeel/internal/rollout"
)

// Count is the load at an upstream. Its Total is encoded only if some requests failed.
type Count struct {
	// Upstream is the hash of the upstream's ID, as computed by package balance.
	Upstream uint32
	balance.Load
}

// Scope selects the entries whose requests a report counts.
type Scope uint8

// The scopes of a report.
const (
	// ScopeOwn is the sender's own requests.
	ScopeOwn Scope = iota
	// ScopeDomain is the requests of all entries that report to the sender, and its own if
	// the sender has no hub itself.
	ScopeDomain
	// ScopeOthers is the requests of all entries except the receiver.
	ScopeOthers
	// ScopeNone is no requests: the report has only Claims, Usages, LimitUpdates, Rollouts or Demand.
	ScopeNone
)

// Report is a report of one entry. Upstreams whose hashes lie from First to Last and which
// are not in Counts have none of the counted requests.
type Report struct {
	// Entry is the ID of the entry's instance.
	Entry string
	Scope Scope
	// First and Last bound the hashes of the upstreams that the report covers.
	First, Last uint32
	// Sequence orders the reports of one Incarnation, Incarnation the restarts of an entry.
	Incarnation uint64
	Sequence    uint64
	// MaxConnIdle is the longest idle time after which connections to upstreams may be
	// used for requests that must not run twice, and MaxConnIdleLeft the time for which
	// this holds; 0 if there is no such limit. Both are encoded in whole milliseconds.
	MaxConnIdle, MaxConnIdleLeft time.Duration
	// Leaving is set while the sender is stopping.
	Leaving bool
	// Isolated is set while no upstream answers the sender though upstreams answer others.
	Isolated bool
	// Answered is set if upstreams have recently answered one of the entries that Scope selects.
	Answered bool
	// Idle is set while the sender has had few requests for a while. Hubs send reports less
	// often to idle entries.
	Idle bool
	// Absent are the hashes of the IDs of entries of the sender's failure domain that are
	// stopping, isolated or silent; see poison.HashEntry. Only hubs set it.
	Absent []uint32
	Counts []Count
	// Claims are about requests that crashed upstreams. They are sent in separate reports.
	Claims []poison.Claim
	// HasUsages is set if the report has the use of limits, Usages, by the entries that
	// UsagesScope selects. First and Last then bound the hashes of the organisations.
	HasUsages   bool
	UsagesScope Scope
	Usages      []quota.Usage
	// CoveredWeight is the sum of the weights of the entries whose use is reported; see weights.
	CoveredWeight int
	// Relayed is set if the sender has the usages from another hub.
	Relayed bool
	// HasLimitUpdates is set if the report has limits of upstreams, LimitUpdates.
	HasLimitUpdates bool
	LimitUpdates    []balance.LimitUpdate
	// HasRollouts is set if the report has evidence on new versions, Rollouts, from the entries
	// that RolloutScope selects.
	HasRollouts  bool
	RolloutScope Scope
	Rollouts     []rollout.Row
	// Demand is the demand for a service at the entries that DemandScope selects; nil if the report
	// has none.
	Demand      *ServiceDemand
	DemandScope Scope
}

// Field numbers of the encoding of a Report, a protobuf message.
const (
	fieldEntry           = 1
	fieldIncarnation     = 2
	fieldSequence        = 3
	fieldUpstreams       = 4
	fieldRequests        = 5
	fieldScope           = 6
	fieldFirst           = 7
	fieldLast            = 8
	fieldMaxConnIdle     = 9
	fieldMaxConnIdleLeft = 10
	fieldFailures        = 11
	fieldLeaving         = 12
	fieldIdle            = 13
	fieldAbsent          = 14
	fieldClaim           = 15
	fieldUsagesScope     = 16
	fieldUsages          = 17
	fieldCovered         = 18
	fieldRelayed         = 19
	fieldLimitUpdates    = 20
	fieldRolloutScope    = 21
	fieldRollouts        = 22
	fieldAnswered        = 23
	fieldIsolated        = 24
	fieldAnnouncements   = 25
	fieldDemandScope     = 26
	fieldDemand          = 27
)

const (
	// maxCounts bounds the upstreams of one report, and maxFailures those with failures, so
	// that it fits a datagram.
	maxCounts   = 150
	maxFailures = 30
	// maxAnnouncements bounds the upstreams of one report with announcements.
	maxAnnouncements = 40
	// maxAbsent bounds the absent entries of one report for the same reason.
	maxAbsent = 40
	// outcomeUnit is the unit in which outcomes are encoded. Outcomes are not whole numbers,
	// as their weight decreases with age.
	outcomeUnit = 0.1
)

// allUpstreams is the largest hash: First = 0 and Last = allUpstreams cover all upstreams.
const allUpstreams = math.MaxUint32

// split divides a report by its counts into reports that fit a datagram. It sorts r.Counts
// by hash.
func (r Report) split() []Report {
	return splitByHash(r, r.Counts, maxCounts, func(c Count) uint32 { return c.Upstream }, func(r *Report, part []Count) { r.Counts = part })
}

// splitByHash divides a report into reports with at most a number of items each, whose First
// and Last together cover all hashes. It sorts items by hash; put sets the items of a report.
func splitByHash[T any](r Report, items []T, most int, hash func(T) uint32, put func(r *Report, part []T)) []Report {
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(hash(a), hash(b)) })
	var out []Report
	r.First = 0
	for len(items) > most {
		put(&r, items[:most])
		items = items[most:]
		r.Last = hash(items[0]) - 1
		out = append(out, r)
		r.First = hash(items[0])
	}
	put(&r, items)
	r.Last = allUpstreams
	return append(out, r)
}

var (
	errMalformed     = errors.New("inflight: malformed report")
	errCountMismatch = errors.New("inflight: numbers of upstreams and of request counts in report differ")
)

// Append appends the encoding of the report to b. Counts beyond maxCounts are left
// out.
func (r *Report) Append(b []byte) []byte {
	counts := r.Counts[:min(len(r.Counts), maxCounts)]
	b = protowire.AppendTag(b, fieldEntry, protowire.BytesType)
	b = protowire.AppendString(b, r.Entry)
	b = protowire.AppendTag(b, fieldIncarnation, protowire.VarintType)
	b = protowire.AppendVarint(b, r.Incarnation)
	b = protowire.AppendTag(b, fieldSequence, protowire.VarintType)
	b = protowire.AppendVarint(b, r.Sequence)
	b = protowire.AppendTag(b, fieldScope, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(r.Scope))
	if r.MaxConnIdleLeft > 0 {
		b = protowire.AppendTag(b, fieldMaxConnIdle, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.MaxConnIdle.Milliseconds()))
		b = protowire.AppendTag(b, fieldMaxConnIdleLeft, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.MaxConnIdleLeft.Milliseconds()))
	}
	if r.Leaving {
		b = protowire.AppendTag(b, fieldLeaving, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	if r.Isolated {
		b = protowire.AppendTag(b, fieldIsolated, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	if r.Answered {
		b = protowire.AppendTag(b, fieldAnswered, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	if r.Idle {
		b = protowire.AppendTag(b, fieldIdle, protowire.VarintType)
		b = protowire.AppendVarint(b, 1)
	}
	if len(r.Absent) > 0 {
		b = protowire.AppendTag(b, fieldAbsent, protowire.BytesType)
		b = protowire.AppendBytes(b, appendHashes(nil, r.Absent[:min(len(r.Absent), maxAbsent)]))
	}
	b = protowire.AppendTag(b, fieldFirst, protowire.Fixed32Type)
	b = protowire.AppendFixed32(b, r.First)
	b = protowire.AppendTag(b, fieldLast, protowire.Fixed32Type)
	b = protowire.AppendFixed32(b, r.Last)
	var upstreams, requests []byte
	for _, c := range counts {
		upstreams = protowire.AppendFixed32(upstreams, c.Upstream)
		requests = protowire.AppendVarint(requests, uint64(c.Requests))
	}
	b = protowire.AppendTag(b, fieldUpstreams, protowire.BytesType)
	b = protowire.AppendBytes(b, upstreams)
	b = protowire.AppendTag(b, fieldRequests, protowire.BytesType)
	b = protowire.AppendBytes(b, requests)
	b = appendFailures(b, counts)
	b = appendAnnouncements(b, counts, r.Sequence)
	if r.HasUsages {
		b = protowire.AppendTag(b, fieldUsagesScope, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.UsagesScope))
		b = protowire.AppendTag(b, fieldCovered, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.CoveredWeight))
		if r.Relayed {
			b = protowire.AppendTag(b, fieldRelayed, protowire.VarintType)
			b = protowire.AppendVarint(b, 1)
		}
		b = protowire.AppendTag(b, fieldUsages, protowire.BytesType)
		b = protowire.AppendBytes(b, appendUsages(nil, r.Usages))
	}
	if r.HasLimitUpdates {
		b = protowire.AppendTag(b, fieldLimitUpdates, protowire.BytesType)
		b = protowire.AppendBytes(b, appendLimitUpdates(nil, r.LimitUpdates))
	}
	if r.HasRollouts {
		b = protowire.AppendTag(b, fieldRolloutScope, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.RolloutScope))
		b = protowire.AppendTag(b, fieldRollouts, protowire.BytesType)
		b = protowire.AppendBytes(b, appendRollouts(nil, r.Rollouts))
	}
	if r.Demand != nil {
		b = protowire.AppendTag(b, fieldDemandScope, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.DemandScope))
		b = protowire.AppendTag(b, fieldDemand, protowire.BytesType)
		b = protowire.AppendBytes(b, appendDemand(nil, r.Demand))
	}
	for _, claim := range r.Claims[:min(len(r.Claims), maxClaims)] {
		b = protowire.AppendTag(b, fieldClaim, protowire.BytesType)
		b = protowire.AppendBytes(b, appendClaim(nil, &claim))
	}
	return b
}

// appendHashes appends hashes in four bytes each.
func appendHashes(b []byte, hashes []uint32) []byte {
	for _, h := range hashes {
		b = protowire.AppendFixed32(b, h)
	}
	return b
}

// appendFailures appends a field with the index in counts, the failures and the outcomes of
// up to maxFailures upstreams with failures. Without failures it appends nothing.
func appendFailures(b []byte, counts []Count) []byte {
	var failures []byte
	n := 0
	for i, c := range counts {
		failed := uint64(math.Round(c.Failed / outcomeUnit))
		if failed == 0 || n == maxFailures {
			continue
		}
		n++
		failures = protowire.AppendVarint(failures, uint64(i))
		failures = protowire.AppendVarint(failures, failed)
		failures = protowire.AppendVarint(failures, uint64(math.Round(c.Total/outcomeUnit)))
	}
	if n == 0 {
		return b
	}
	b = protowire.AppendTag(b, fieldFailures, protowire.BytesType)
	return protowire.AppendBytes(b, failures)
}

// appendAnnouncements appends a field with the index in counts, the entries that back off and the drain
// of up to maxAnnouncements upstreams with announcements. If there are more, successive reports have
// them in turn. Without announcements it appends nothing.
func appendAnnouncements(b []byte, counts []Count, sequence uint64) []byte {
	var announced []int
	for i, c := range counts {
		if c.BackingOff > 0 || c.Draining {
			announced = append(announced, i)
		}
	}
	if len(announced) == 0 {
		return b
	}
	n := min(len(announced), maxAnnouncements)
	first := int(sequence % uint64(len(announced)) * maxAnnouncements)
	var out []byte
	for k := range n {
		i := announced[(first+k)%len(announced)]
		out = protowire.AppendVarint(out, uint64(i))
		out = protowire.AppendVarint(out, uint64(counts[i].BackingOff)<<1|protowire.EncodeBool(counts[i].Draining))
	}
	b = protowire.AppendTag(b, fieldAnnouncements, protowire.BytesType)
	return protowire.AppendBytes(b, out)
}
