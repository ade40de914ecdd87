package inflight

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/rollout"
)

// This file has the reports of the evidence on new versions of services; see package rollout. An
// entry reports its own evidence to its hub, a hub the sum of its failure domain to the other
// hubs, so that each hub knows the evidence of all entries. Hubs report to all entries which
// rollouts were found to be bad.

const (
	// maxRollouts bounds the rows of one report, so that it fits a datagram; a row takes up to
	// 46 bytes.
	maxRollouts = 25
	// maxAnswers bounds the answers accepted in a row.
	maxAnswers = 1 << 32
)

// Rollouts holds the evidence that an Exchange reports, and applies the reports of peers.
type Rollouts interface {
	// Active reports whether there is any evidence to report.
	Active() bool
	// Rows returns the evidence of the reporters that from selects, and that of the own entry if
	// own is set.
	Rows(own bool, from func(reporter string) bool) []rollout.Row
	// Halts returns a row for each rollout that was found to be bad.
	Halts() []rollout.Row
	// Apply applies a row of a reporter.
	Apply(reporter string, r rollout.Row)
}

// sendRollouts sends rows to peers.
func (x *Exchange) sendRollouts(peers []Peer, scope Scope, rows []rollout.Row) {
	if len(peers) == 0 {
		return
	}
	for part := range slices.Chunk(rows, maxRollouts) {
		r := Report{
			Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
			Scope: ScopeNone, Last: allUpstreams, HasRollouts: true, RolloutScope: scope, Rollouts: part,
		}
		x.write(&r, peers)
	}
}

// rolloutsDue reports whether evidence is to be reported in this period.
func (x *Exchange) rolloutsDue() bool {
	return x.opt.Rollouts != nil && x.remoteDue() && x.opt.Rollouts.Active()
}

// sendRolloutsToAll reports the own evidence to all peers of a small fleet.
func (x *Exchange) sendRolloutsToAll(fleet Fleet) {
	if x.rolloutsDue() {
		x.sendRollouts(fleet.Peers, ScopeOwn, x.opt.Rollouts.Rows(true, noReporter))
	}
}

// sendRolloutsByHubs reports the evidence in a fleet with hubs. reporters are the entries that
// report to this one, remote the hubs of the other failure domains.
func (x *Exchange) sendRolloutsByHubs(hub Peer, reporters, remote []Peer) {
	if !x.rolloutsDue() {
		return
	}
	isHub := hub.ID == x.opt.Entry
	if !isHub {
		x.sendRollouts([]Peer{hub}, ScopeOwn, x.opt.Rollouts.Rows(true, noReporter))
	}
	if isHub || len(reporters) > 0 {
		x.sendRollouts(remote, ScopeDomain, x.opt.Rollouts.Rows(true, isEntry))
		x.sendRollouts(reporters, ScopeOthers, x.opt.Rollouts.Halts())
	}
}

// isEntry selects the entries among the reporters of evidence, and no sums of failure domains.
func isEntry(reporter string) bool { return !strings.HasPrefix(reporter, allOthers) }

// handleRollouts applies a peer's report of evidence. The sum of a failure domain is kept under the
// name of the domain, as any of its entries may become the hub.
func (x *Exchange) handleRollouts(r *Report, from Peer) {
	if x.opt.Rollouts == nil {
		return
	}
	reporter := from.ID
	if r.RolloutScope != ScopeOwn {
		reporter = allOthers + from.Domain
	}
	for _, row := range r.Rollouts {
		x.opt.Rollouts.Apply(reporter, row)
	}
}

// appendRollouts appends the encoding of up to maxRollouts rows.
func appendRollouts(b []byte, rows []rollout.Row) []byte {
	for _, r := range rows[:min(len(rows), maxRollouts)] {
		b = protowire.AppendFixed64(b, r.Key)
		b = protowire.AppendFixed32(b, r.Route)
		b = protowire.AppendVarint(b, protowire.EncodeBool(r.Halted))
		for _, n := range [...]uint64{r.New, r.NewBad, r.Old, r.OldBad} {
			b = protowire.AppendVarint(b, n)
		}
		b = protowire.AppendFixed64(b, r.BadUpstreams)
	}
	return b
}

// decodeRollouts decodes the output of appendRollouts.
func decodeRollouts(b []byte) ([]rollout.Row, error) {
	var out []rollout.Row
	var err error
	for len(b) > 0 {
		var r rollout.Row
		var v [5]uint64
		if r.Key, b, err = consumeFixed64(b); err != nil {
			return nil, err
		}
		if r.Route, b, err = consumeHash(b); err != nil {
			return nil, err
		}
		if b, err = consumeVarints(b, v[:]); err != nil {
			return nil, err
		}
		if r.BadUpstreams, b, err = consumeFixed64(b); err != nil {
			return nil, err
		}
		if slices.Max(v[1:]) > maxAnswers || v[2] > v[1] || v[4] > v[3] {
			return nil, errMalformed
		}
		r.Halted = v[0] != 0
		r.New, r.NewBad, r.Old, r.OldBad = v[1], v[2], v[3], v[4]
		out = append(out, r)
	}
	return out, nil
}

// consumeFixed64 decodes a number of eight bytes and returns the bytes after it.
func consumeFixed64(b []byte) (v uint64, rest []byte, err error) {
	v, n := protowire.ConsumeFixed64(b)
	if n < 0 {
		return 0, nil, errMalformed
	}
	return v, b[n:], nil
}
