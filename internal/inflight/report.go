// Package inflight lets entries tell each other how many requests each of them
// has under way at which upstream.
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
)

// Count is what entries have at an upstream.
type Count struct {
	// Upstream is the hash of the upstream's id, as balance.Group.LoadAt gives it.
	Upstream uint32
	// Requests are under way.
	Requests int
	// Failed of the Answered recent requests failed. Answered is told only if any did.
	Failed, Answered float64
}

// Scope says whose requests a report counts.
type Scope uint8

// The scopes.
const (
	// ScopeOwn counts the sender's own requests.
	ScopeOwn Scope = iota
	// ScopeDomain counts those of all entries that report to the sender, and its own.
	ScopeDomain
	// ScopeOthers counts those of all entries but the receiver.
	ScopeOthers
	// ScopeNone counts nobody's: the report has only Claims.
	ScopeNone
)

// Report is what one entry tells. Upstreams from First to Last, by their hashes,
// that it does not name have none of the requests.
type Report struct {
	// Entry is the id of the entry's instance.
	Entry string
	Scope Scope
	// First and Last bound the upstreams that the report covers.
	First, Last uint32
	// Sequence orders the reports of one life of an entry, Incarnation its lives.
	Incarnation uint64
	Sequence    uint64
	// MaxConnIdle is the longest rest after which connections to upstreams are trusted, and
	// MaxConnIdleLeft for how long that holds; 0 if there is no doubt. Both are sent in
	// whole milliseconds.
	MaxConnIdle, MaxConnIdleLeft time.Duration
	// Leaving is set while the sender stops.
	Leaving bool
	// Idle is set while the sender has carried few requests for a while. It is told less
	// often then.
	Idle bool
	// Absent are the hashes of the ids of entries of the sender's failure domain that stop
	// or are silent; see poison.SourceOf. Hubs tell them.
	Absent []uint32
	Counts []Count
	// Claims are about requests under which upstreams ended. They have reports of their own.
	Claims []poison.Claim
	// HasUses is set if the report is about the use of limits, Uses, of the entries that
	// UsesScope says.
	HasUses   bool
	UsesScope Scope
	Uses      []quota.Usage
	// Covered is the weight of the entries that the uses are of; see Fleet.
	Covered int
	// Relayed is set if the uses are what another hub told the sender.
	Relayed bool
	// HasRates is set if the report is about the limits of upstreams, Rates.
	HasRates bool
	Rates    []balance.LimitUpdate
}

// Fields of the encoding, a protobuf message.
const (
	fieldEntry       = 1
	fieldIncarnation = 2
	fieldSequence    = 3
	fieldUpstreams   = 4
	fieldRequests    = 5
	fieldScope       = 6
	fieldFirst       = 7
	fieldLast        = 8
	fieldDoubt       = 9
	fieldDoubtLeft   = 10
	fieldFailures    = 11
	fieldLeaving     = 12
	fieldIdle        = 13
	fieldAbsent      = 14
	fieldClaim       = 15
	fieldUsesScope   = 16
	fieldUses        = 17
	fieldCovered     = 18
	fieldRelayed     = 19
	fieldRates       = 20
)

const (
	// maxCounts bounds the upstreams of one report, and maxFailures those of them with
	// failures, so that it fits a datagram.
	maxCounts   = 150
	maxFailures = 30
	// maxAbsent bounds the absent entries of one report for the same reason.
	maxAbsent = 40
	// outcomeUnit is the part of an outcome that is told: outcomes count for less as
	// they age.
	outcomeUnit = 0.1
)

// allUpstreams is the last of all hashes.
const allUpstreams = math.MaxUint32

// split divides a report into ones that fit a datagram. The counts are put into the
// order of their hashes.
func (r Report) split() []Report {
	return splitByHash(r, r.Counts, maxCounts, func(c Count) uint32 { return c.Upstream }, func(r *Report, part []Count) { r.Counts = part })
}

// splitByHash divides a report with items into ones that have at most a number of them each,
// and cover all hashes together. The items are put into the order of their hashes.
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
	errMalformed = errors.New("inflight: malformed report")
	errUneven    = errors.New("inflight: report with upstreams and requests of different numbers")
)

// Append adds the encoding of a report to b. Counts beyond maxCounts are left
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
		b = protowire.AppendTag(b, fieldDoubt, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.MaxConnIdle.Milliseconds()))
		b = protowire.AppendTag(b, fieldDoubtLeft, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.MaxConnIdleLeft.Milliseconds()))
	}
	if r.Leaving {
		b = protowire.AppendTag(b, fieldLeaving, protowire.VarintType)
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
	if r.HasUses {
		b = protowire.AppendTag(b, fieldUsesScope, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.UsesScope))
		b = protowire.AppendTag(b, fieldCovered, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(r.Covered))
		if r.Relayed {
			b = protowire.AppendTag(b, fieldRelayed, protowire.VarintType)
			b = protowire.AppendVarint(b, 1)
		}
		b = protowire.AppendTag(b, fieldUses, protowire.BytesType)
		b = protowire.AppendBytes(b, appendUses(nil, r.Uses))
	}
	if r.HasRates {
		b = protowire.AppendTag(b, fieldRates, protowire.BytesType)
		b = protowire.AppendBytes(b, appendRates(nil, r.Rates))
	}
	for _, w := range r.Claims[:min(len(r.Claims), maxClaims)] {
		b = protowire.AppendTag(b, fieldClaim, protowire.BytesType)
		b = protowire.AppendBytes(b, appendClaim(nil, &w))
	}
	return b
}

func appendHashes(b []byte, hashes []uint32) []byte {
	for _, h := range hashes {
		b = protowire.AppendFixed32(b, h)
	}
	return b
}

func (r *Report) decodeAbsent(b []byte) error {
	var h uint32
	var err error
	for len(b) > 0 {
		if h, b, err = consumeHash(b); err != nil {
			return err
		}
		r.Absent = append(r.Absent, h)
	}
	return nil
}

// appendFailures adds the place among the counts, the failures and the outcomes of
// each upstream with failures.
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
		failures = protowire.AppendVarint(failures, uint64(math.Round(c.Answered/outcomeUnit)))
	}
	if n == 0 {
		return b
	}
	b = protowire.AppendTag(b, fieldFailures, protowire.BytesType)
	return protowire.AppendBytes(b, failures)
}

// Decode reads a report. Unknown fields are passed over.
func Decode(b []byte) (*Report, error) {
	r := &Report{Last: allUpstreams}
	var upstreams, requests, failures, absent, claim, uses, rates []byte
	var claims [][]byte
	var relayed, covered, usesScope, scope, doubt, doubtLeft, leaving, idle uint64
	err := eachField(b, func(field protowire.Number, kind protowire.Type, b []byte) (n int) {
		switch {
		case field == fieldEntry && kind == protowire.BytesType:
			r.Entry, n = protowire.ConsumeString(b)
		case field == fieldIncarnation && kind == protowire.VarintType:
			r.Incarnation, n = protowire.ConsumeVarint(b)
		case field == fieldSequence && kind == protowire.VarintType:
			r.Sequence, n = protowire.ConsumeVarint(b)
		case field == fieldUpstreams && kind == protowire.BytesType:
			upstreams, n = protowire.ConsumeBytes(b)
		case field == fieldRequests && kind == protowire.BytesType:
			requests, n = protowire.ConsumeBytes(b)
		case field == fieldFailures && kind == protowire.BytesType:
			failures, n = protowire.ConsumeBytes(b)
		case field == fieldScope && kind == protowire.VarintType:
			scope, n = protowire.ConsumeVarint(b)
		case field == fieldDoubt && kind == protowire.VarintType:
			doubt, n = protowire.ConsumeVarint(b)
		case field == fieldDoubtLeft && kind == protowire.VarintType:
			doubtLeft, n = protowire.ConsumeVarint(b)
		case field == fieldLeaving && kind == protowire.VarintType:
			leaving, n = protowire.ConsumeVarint(b)
		case field == fieldIdle && kind == protowire.VarintType:
			idle, n = protowire.ConsumeVarint(b)
		case field == fieldAbsent && kind == protowire.BytesType:
			absent, n = protowire.ConsumeBytes(b)
		case field == fieldClaim && kind == protowire.BytesType:
			claim, n = protowire.ConsumeBytes(b)
			claims = append(claims, claim)
		case field == fieldUsesScope && kind == protowire.VarintType:
			usesScope, n = protowire.ConsumeVarint(b)
			r.HasUses = true
		case field == fieldCovered && kind == protowire.VarintType:
			covered, n = protowire.ConsumeVarint(b)
		case field == fieldRelayed && kind == protowire.VarintType:
			relayed, n = protowire.ConsumeVarint(b)
		case field == fieldUses && kind == protowire.BytesType:
			uses, n = protowire.ConsumeBytes(b)
		case field == fieldRates && kind == protowire.BytesType:
			rates, n = protowire.ConsumeBytes(b)
			r.HasRates = true
		case field == fieldFirst && kind == protowire.Fixed32Type:
			r.First, n = protowire.ConsumeFixed32(b)
		case field == fieldLast && kind == protowire.Fixed32Type:
			r.Last, n = protowire.ConsumeFixed32(b)
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		return n
	})
	if err != nil {
		return nil, err
	}
	if covered > maxCovered || usesScope >= uint64(ScopeNone) || scope > uint64(ScopeNone) || r.First > r.Last || doubt > maxDoubt || doubtLeft > maxDoubt {
		return nil, errMalformed
	}
	r.Scope, r.Leaving, r.Idle = Scope(scope), leaving != 0, idle != 0
	r.MaxConnIdle, r.MaxConnIdleLeft = time.Duration(doubt)*time.Millisecond, time.Duration(doubtLeft)*time.Millisecond
	if err := r.decodeCounts(upstreams, requests); err != nil {
		return nil, err
	}
	r.UsesScope, r.Covered, r.Relayed = Scope(usesScope), int(covered), relayed != 0
	if r.Uses, err = decodeUses(uses); err != nil {
		return nil, err
	}
	if r.Rates, err = decodeRates(rates); err != nil {
		return nil, err
	}
	if err := r.decodeAbsent(absent); err != nil {
		return nil, err
	}
	for _, encoded := range claims {
		c, err := decodeClaim(encoded)
		if err != nil {
			return nil, err
		}
		r.Claims = append(r.Claims, c)
	}
	return r, r.decodeFailures(failures)
}

// eachField calls take with each field of a message and what follows its tag. Take returns
// how many bytes the field has, or a negative number if it is malformed.
func eachField(b []byte, take func(field protowire.Number, kind protowire.Type, b []byte) int) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if n = take(field, kind, b); n < 0 {
			return errMalformed
		}
		b = b[n:]
	}
	return nil
}

// consumeHash reads a hash and returns what follows it.
func consumeHash(b []byte) (hash uint32, rest []byte, err error) {
	hash, n := protowire.ConsumeFixed32(b)
	if n < 0 {
		return 0, nil, errMalformed
	}
	return hash, b[n:], nil
}

// consumeVarints reads as many numbers as there is room for and returns what follows them.
func consumeVarints(b []byte, into []uint64) (rest []byte, err error) {
	for i := range into {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, errMalformed
		}
		into[i], b = v, b[n:]
	}
	return b, nil
}

// decodeFailures reads what appendFailures wrote.
func (r *Report) decodeFailures(b []byte) error {
	var v [3]uint64
	var err error
	for len(b) > 0 {
		if b, err = consumeVarints(b, v[:]); err != nil {
			return err
		}
		if v[0] >= uint64(len(r.Counts)) || v[1] > maxRequests || v[2] > maxRequests {
			return errMalformed
		}
		c := &r.Counts[v[0]]
		c.Failed, c.Answered = float64(v[1])*outcomeUnit, float64(v[2])*outcomeUnit
	}
	return nil
}

// maxDoubt bounds the times of a doubt in milliseconds.
const maxDoubt = 60_000

// maxRequests bounds what one entry can have under way at one upstream.
const maxRequests = 1 << 16

func (r *Report) decodeCounts(upstreams, requests []byte) error {
	for len(upstreams) > 0 {
		u, n := protowire.ConsumeFixed32(upstreams)
		if n < 0 {
			return errMalformed
		}
		upstreams = upstreams[n:]
		q, m := protowire.ConsumeVarint(requests)
		if m < 0 {
			return errUneven
		}
		requests = requests[m:]
		if q > maxRequests {
			return errMalformed
		}
		r.Counts = append(r.Counts, Count{Upstream: u, Requests: int(q)})
	}
	if len(requests) > 0 {
		return errUneven
	}
	return nil
}
