package inflight

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/balance"
)

// decodeAbsent decodes the hashes of absent entries into r.Absent.
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

// Decode decodes a report and checks the ranges of its values. Unknown fields are skipped.
func Decode(b []byte) (*Report, error) {
	r := &Report{Last: allUpstreams}
	var upstreams, requests, failures, absent, claim, usages, limitUpdates, rollouts, announcements, demand []byte
	var claims [][]byte
	var relayed, covered, rolloutScope, demandScope, usagesScope, scope, maxConnIdle, maxConnIdleLeft, leaving, isolated, answered, idle uint64
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
		case field == fieldMaxConnIdle && kind == protowire.VarintType:
			maxConnIdle, n = protowire.ConsumeVarint(b)
		case field == fieldMaxConnIdleLeft && kind == protowire.VarintType:
			maxConnIdleLeft, n = protowire.ConsumeVarint(b)
		case field == fieldLeaving && kind == protowire.VarintType:
			leaving, n = protowire.ConsumeVarint(b)
		case field == fieldIsolated && kind == protowire.VarintType:
			isolated, n = protowire.ConsumeVarint(b)
		case field == fieldAnswered && kind == protowire.VarintType:
			answered, n = protowire.ConsumeVarint(b)
		case field == fieldIdle && kind == protowire.VarintType:
			idle, n = protowire.ConsumeVarint(b)
		case field == fieldAnnouncements && kind == protowire.BytesType:
			announcements, n = protowire.ConsumeBytes(b)
		case field == fieldAbsent && kind == protowire.BytesType:
			absent, n = protowire.ConsumeBytes(b)
		case field == fieldClaim && kind == protowire.BytesType:
			claim, n = protowire.ConsumeBytes(b)
			claims = append(claims, claim)
		case field == fieldUsagesScope && kind == protowire.VarintType:
			usagesScope, n = protowire.ConsumeVarint(b)
			r.HasUsages = true
		case field == fieldCovered && kind == protowire.VarintType:
			covered, n = protowire.ConsumeVarint(b)
		case field == fieldRelayed && kind == protowire.VarintType:
			relayed, n = protowire.ConsumeVarint(b)
		case field == fieldUsages && kind == protowire.BytesType:
			usages, n = protowire.ConsumeBytes(b)
		case field == fieldLimitUpdates && kind == protowire.BytesType:
			limitUpdates, n = protowire.ConsumeBytes(b)
			r.HasLimitUpdates = true
		case field == fieldRolloutScope && kind == protowire.VarintType:
			rolloutScope, n = protowire.ConsumeVarint(b)
			r.HasRollouts = true
		case field == fieldRollouts && kind == protowire.BytesType:
			rollouts, n = protowire.ConsumeBytes(b)
		case field == fieldDemandScope && kind == protowire.VarintType:
			demandScope, n = protowire.ConsumeVarint(b)
		case field == fieldDemand && kind == protowire.BytesType:
			demand, n = protowire.ConsumeBytes(b)
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
	if covered > maxCovered || usagesScope >= uint64(ScopeNone) || rolloutScope >= uint64(ScopeNone) || demandScope >= uint64(ScopeNone) || scope > uint64(ScopeNone) || r.First > r.Last || maxConnIdle > maxConnIdleMillis || maxConnIdleLeft > maxConnIdleMillis {
		return nil, errMalformed
	}
	r.Scope, r.Leaving, r.Isolated, r.Answered, r.Idle = Scope(scope), leaving != 0, isolated != 0, answered != 0, idle != 0
	r.MaxConnIdle, r.MaxConnIdleLeft = time.Duration(maxConnIdle)*time.Millisecond, time.Duration(maxConnIdleLeft)*time.Millisecond
	if err := r.decodeCounts(upstreams, requests); err != nil {
		return nil, err
	}
	if err := r.decodeAnnouncements(announcements); err != nil {
		return nil, err
	}
	r.UsagesScope, r.CoveredWeight, r.Relayed = Scope(usagesScope), int(covered), relayed != 0
	if r.Usages, err = decodeUsages(usages); err != nil {
		return nil, err
	}
	if r.LimitUpdates, err = decodeLimitUpdates(limitUpdates); err != nil {
		return nil, err
	}
	r.RolloutScope = Scope(rolloutScope)
	if r.Rollouts, err = decodeRollouts(rollouts); err != nil {
		return nil, err
	}
	r.DemandScope = Scope(demandScope)
	if len(demand) > 0 {
		if r.Demand, err = decodeDemand(demand); err != nil {
			return nil, err
		}
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

// eachField calls consume with each field of a message and the bytes after the field's tag.
// consume returns the length of the field in bytes, or a negative number if it is malformed.
func eachField(b []byte, consume func(field protowire.Number, kind protowire.Type, b []byte) int) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if n = consume(field, kind, b); n < 0 {
			return errMalformed
		}
		b = b[n:]
	}
	return nil
}

// consumeHash decodes a hash and returns the bytes after it.
func consumeHash(b []byte) (hash uint32, rest []byte, err error) {
	hash, n := protowire.ConsumeFixed32(b)
	if n < 0 {
		return 0, nil, errMalformed
	}
	return hash, b[n:], nil
}

// consumeVarints decodes len(into) varints and returns the bytes after them.
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

// decodeFailures decodes the output of appendFailures into r.Counts.
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
		c.Failed, c.Total = float64(v[1])*outcomeUnit, float64(v[2])*outcomeUnit
	}
	return nil
}

// decodeAnnouncements decodes the output of appendAnnouncements into r.Counts.
func (r *Report) decodeAnnouncements(b []byte) error {
	var v [2]uint64
	var err error
	for len(b) > 0 {
		if b, err = consumeVarints(b, v[:]); err != nil {
			return err
		}
		if v[0] >= uint64(len(r.Counts)) || v[1]>>1 > maxRequests {
			return errMalformed
		}
		c := &r.Counts[v[0]]
		c.BackingOff, c.Draining = int(v[1]>>1), protowire.DecodeBool(v[1]&1)
	}
	return nil
}

// maxConnIdleMillis bounds MaxConnIdle and MaxConnIdleLeft of an accepted report, in
// milliseconds.
const maxConnIdleMillis = 60_000

// maxRequests bounds the requests in flight of one entry at one upstream in an accepted
// report.
const maxRequests = 1 << 16

// decodeCounts decodes upstreams and their requests, two lists of equal length, into r.Counts.
func (r *Report) decodeCounts(upstreams, requests []byte) error {
	for len(upstreams) > 0 {
		u, n := protowire.ConsumeFixed32(upstreams)
		if n < 0 {
			return errMalformed
		}
		upstreams = upstreams[n:]
		q, m := protowire.ConsumeVarint(requests)
		if m < 0 {
			return errCountMismatch
		}
		requests = requests[m:]
		if q > maxRequests {
			return errMalformed
		}
		r.Counts = append(r.Counts, Count{Upstream: u, Load: balance.Load{Requests: int(q)}})
	}
	if len(requests) > 0 {
		return errCountMismatch
	}
	return nil
}
