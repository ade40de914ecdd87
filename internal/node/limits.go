package node

import (
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/inflight"
	"github.com/loomkeel/loomkeel/internal/quota"
)

// organisationLimits passes on reports of the use of limits, which can be applied only to a snapshot
// that is up to date.
type organisationLimits struct {
	inflight.OrganisationLimits
	node *Node
}

// ApplyReport implements inflight.OrganisationLimits.
func (l organisationLimits) ApplyReport(r quota.Report, now time.Time) {
	if len(r.Usages) > 0 {
		l.node.activate()
	}
	l.OrganisationLimits.ApplyReport(r, now)
}

// upstreamLimits does the same for limits of upstreams.
type upstreamLimits struct {
	inflight.UpstreamLimits
	node *Node
}

// ApplyLimitUpdates implements inflight.UpstreamLimits.
func (l upstreamLimits) ApplyLimitUpdates(entry string, incarnation uint64, updates []balance.LimitUpdate) {
	if len(updates) > 0 {
		l.node.activate()
	}
	l.UpstreamLimits.ApplyLimitUpdates(entry, incarnation, updates)
}
