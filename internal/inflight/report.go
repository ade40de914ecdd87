// Package inflight lets entries tell each other how many requests each of them
// has under way at which upstream.
package inflight

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// Count is the number of requests that an entry has under way at an upstream.
type Count struct {
	// Upstream is the hash of the upstream's id; see balance.HashID.
	Upstream uint32
	Requests int
}

// Report is what one entry tells of itself. Upstreams that it does not name have
// none of its requests.
type Report struct {
	// Entry is the id of the entry's instance.
	Entry string
	// Sequence orders the reports of one life of an entry, Incarnation its lives.
	Incarnation uint64
	Sequence    uint64
	Counts      []Count
}

// Fields of the encoding, a protobuf message.
const (
	fieldEntry       = 1
	fieldIncarnation = 2
	fieldSequence    = 3
	fieldUpstreams   = 4
	fieldRequests    = 5
)

// maxCounts bounds the upstreams of one report, so that it fits a datagram.
const maxCounts = 200

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
	var upstreams, requests []byte
	for _, c := range counts {
		upstreams = protowire.AppendFixed32(upstreams, c.Upstream)
		requests = protowire.AppendVarint(requests, uint64(c.Requests))
	}
	b = protowire.AppendTag(b, fieldUpstreams, protowire.BytesType)
	b = protowire.AppendBytes(b, upstreams)
	b = protowire.AppendTag(b, fieldRequests, protowire.BytesType)
	return protowire.AppendBytes(b, requests)
}

// Decode reads a report. Unknown fields are passed over.
func Decode(b []byte) (*Report, error) {
	r := new(Report)
	var upstreams, requests []byte
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return nil, errMalformed
		}
		b = b[n:]
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
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return nil, errMalformed
		}
		b = b[n:]
	}
	return r, r.decodeCounts(upstreams, requests)
}

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
		r.Counts = append(r.Counts, Count{u, int(q)})
	}
	if len(requests) > 0 {
		return errUneven
	}
	return nil
}
