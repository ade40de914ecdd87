package entry

import (
	"context"
	"time"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/share"
)

// reportInterval is the time between two reports to the agent.
const reportInterval = 500 * time.Millisecond

// Reporter is the connection to the agent.
type Reporter interface {
	// Report sends a report and returns the agent's reply.
	Report(ctx context.Context, req *pb.ReportRequest) (*pb.ReportReply, error)
}

// RunReports periodically reports the entry's use of the in-flight caps, and the upstreams
// that drain, to the agent and applies the limits in the replies, until ctx ends. A failed
// report is not retried: while the agent is unreachable, grants expire at their times and
// the floors stay in force.
func (e *Entry) RunReports(ctx context.Context, r Reporter) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			_ = e.report(ctx, r, e.leaving.Load())
		case <-ctx.Done():
			return
		}
	}
}

// report sends one report to the agent and applies the limits in its reply. Reports are
// sent one at a time, each after the reply to the previous one, so that limits are applied
// in the order of the agent's replies. If ctx ends while an earlier report is in progress,
// the error is that of ctx.
func (e *Entry) report(ctx context.Context, r Reporter, leaving bool) error {
	select {
	case e.reporting <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-e.reporting }()
	req := &pb.ReportRequest{Leaving: leaving, Draining: e.Proxy.DrainingUpstreams()}
	for _, u := range e.Proxy.CapUsage() {
		req.Usage = append(req.Usage, &pb.CapUsage{
			Service: u.Service, Region: u.Region,
			InFlight: uint32(max(0, u.InFlight)), Refused: uint32(u.Refused), Limit: uint32(u.Limit),
		})
	}
	reply, err := r.Report(ctx, req)
	if err != nil {
		return err
	}
	limits := make([]share.Limit, len(reply.GetLimits()))
	for i, l := range reply.GetLimits() {
		limits[i] = share.Limit{
			Service: l.GetService(), Region: l.GetRegion(),
			Floor: int(l.GetFloor()), FloorUntil: l.GetFloorUntil(),
			Grant: int(l.GetGrant()), GrantUntil: l.GetGrantUntil(),
		}
	}
	e.capShares.Set(limits)
	return nil
}
