package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// reportCall is a report under way. Its sender waits for a reply on reply.
type reportCall struct {
	leaving bool
	reply   chan *pb.ReportReply
}

// heldAgent is a Reporter whose test answers each report.
type heldAgent struct{ calls chan reportCall }

// Report implements Reporter.
func (a heldAgent) Report(ctx context.Context, req *pb.ReportRequest) (*pb.ReportReply, error) {
	c := reportCall{req.GetLeaving(), make(chan *pb.ReportReply, 1)}
	a.calls <- c
	select {
	case reply := <-c.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// replyWithFloor returns a reply that limits service stock in region muscat to floor
// requests in flight.
func replyWithFloor(floor uint32) *pb.ReportReply {
	return &pb.ReportReply{Limits: []*pb.CapLimit{{Service: "stock", Region: "muscat", Floor: floor, FloorUntil: 1}}}
}

// floorInForce returns the limit of service stock in region muscat before its expiry.
func floorInForce(e *Entry) int {
	for _, s := range e.capShares.Statuses(0) {
		if s.Service == "stock" && s.Region == "muscat" {
			return s.Limit
		}
	}
	return 0
}

// closedServer is a Shutdowner without requests in flight.
type closedServer struct{}

// BeginDrain implements Shutdowner.
func (closedServer) BeginDrain() {}

// Shutdown implements Shutdowner.
func (closedServer) Shutdown(context.Context) error { return nil }

// newTestEntry returns an Entry without a snapshot.
func newTestEntry() *Entry {
	return New(forward.Options{Self: "e1", MaxInFlight: 1, Now: time.Now})
}

// TestNewestLimitStaysInForce checks that, when Stop reports while a report of RunReports
// is under way, the limits in the agent's newest reply are in force in the end, even if an
// older reply is delayed.
func TestNewestLimitStaysInForce(t *testing.T) {
	const olderFloor, newerFloor = 5, 2
	synctest.Test(t, func(t *testing.T) {
		e, agent := newTestEntry(), heldAgent{make(chan reportCall, 2)}
		ctx, cancel := context.WithCancel(t.Context())
		go e.RunReports(ctx, agent)
		periodic := <-agent.calls
		stopped := make(chan error, 1)
		go func() { stopped <- e.Stop(t.Context(), closedServer{}, StopOptions{Agent: agent}) }()
		synctest.Wait()
		// The periodic report reaches the agent first, but its reply is delayed past the
		// reply to any other report that is under way.
		if len(agent.calls) > 0 {
			leaving := <-agent.calls
			leaving.reply <- replyWithFloor(newerFloor)
			synctest.Wait()
			periodic.reply <- replyWithFloor(olderFloor)
		} else {
			periodic.reply <- replyWithFloor(olderFloor)
			leaving := <-agent.calls
			leaving.reply <- replyWithFloor(newerFloor)
		}
		synctest.Wait()
		if got := floorInForce(e); got != newerFloor {
			t.Errorf("the limit is %d, want that of the newest reply, %d", got, newerFloor)
		}
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// TestStopDoesNotWaitPastContext checks that Stop goes on without its report if its context
// ends while another report is under way.
func TestStopDoesNotWaitPastContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, agent := newTestEntry(), heldAgent{make(chan reportCall, 2)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go e.RunReports(ctx, agent)
		<-agent.calls
		stopCtx, cancelStop := context.WithCancel(t.Context())
		stopped := make(chan error, 1)
		go func() { stopped <- e.Stop(stopCtx, closedServer{}, StopOptions{Agent: agent}) }()
		synctest.Wait()
		cancelStop()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}
