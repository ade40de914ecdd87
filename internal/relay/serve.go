package relay

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

const (
	// maxWait bounds how long an answer is held back.
	maxWait = 5 * time.Second
	// answerMargin is how long an answer may take beyond the wait that was asked
	// for. A peer that is frozen or cut off is given up after it.
	answerMargin = 500 * time.Millisecond
	// returnedRecently is how long it is told that the service had been away.
	returnedRecently = 10 * time.Second
)

// Errors of a peer that cannot be followed now.
var (
	// ErrUnavailable means that the peer does not itself follow the service.
	ErrUnavailable = errors.New("relay: peer does not follow the service")
	// ErrLost means that the peer has lost the service.
	ErrLost = errors.New("relay: peer has lost the service")
)

// Server serves a Cache to peers.
type Server struct {
	cache *Cache
	now   func() time.Time
}

var _ pb.DRPCRelayServer = (*Server)(nil)

// NewServer returns the Server of a Cache.
func NewServer(c *Cache, now func() time.Time) *Server { return &Server{c, now} }

// NewMux returns the drpc service of a Cache.
func NewMux(c *Cache, now func() time.Time) (*drpcmux.Mux, error) {
	mux := drpcmux.New()
	return mux, pb.DRPCRegisterRelay(mux, NewServer(c, now))
}

// Changes implements pb.DRPCRelayServer.
func (s *Server) Changes(ctx context.Context, req *pb.RelayRequest) (*pb.RelayReply, error) {
	wait := min(maxWait, time.Duration(req.GetWaitMilli())*time.Millisecond)
	b, state := s.cache.Wait(ctx, req.GetAfter(), wait)
	reply := &pb.RelayReply{Unavailable: !state.Following, Lost: state.Lost}
	if ago := s.now().Sub(state.Returned); !state.Returned.IsZero() && ago < returnedRecently {
		reply.ReturnedMilli = uint32(max(1, ago.Milliseconds()))
	}
	// An entry that knows nothing yet gets what there is even from one that does not
	// follow the service: it has nobody else to ask while the service is away.
	if state.Following || req.GetAfter() == 0 {
		reply.Whole, reply.Records, reply.Revision = b.Whole, recordsToProto(b.Records), b.Revision
	}
	return reply, nil
}

// Call asks the peer at an address for changes.
type Call func(ctx context.Context, addr string, req *pb.RelayRequest) (*pb.RelayReply, error)

// Over returns the Call that goes over a dialer's connections.
func Over(dialer *rpc.Dialer) Call {
	return func(ctx context.Context, addr string, req *pb.RelayRequest) (*pb.RelayReply, error) {
		conn := dialer.Conn(addr)
		defer conn.Close()
		return pb.NewDRPCRelayClient(conn).Changes(ctx, req)
	}
}

// Client follows peers.
type Client struct {
	call Call
	now  func() time.Time
}

// NewClient returns a Client that reaches peers by call.
func NewClient(call Call, now func() time.Time) *Client { return &Client{call, now} }

// Changes asks the peer at an address for what changed after a revision, for which
// it may wait. Returned is when the service was reached again after a loss; zero if
// that is long past. It is told even if the peer cannot be followed now; and with
// after 0 so is what the peer knows.
func (c *Client) Changes(ctx context.Context, addr string, after int64, wait time.Duration) (b Batch, returned time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	reply, err := c.call(ctx, addr, &pb.RelayRequest{After: after, WaitMilli: uint32(wait.Milliseconds())})
	if err != nil {
		return Batch{}, time.Time{}, err
	}
	if ago := reply.GetReturnedMilli(); ago > 0 {
		returned = c.now().Add(-time.Duration(ago) * time.Millisecond)
	}
	records, err := recordsFromProto(reply.GetRecords())
	if err != nil {
		return Batch{}, returned, err
	}
	b = Batch{reply.GetWhole(), records, reply.GetRevision()}
	switch {
	case reply.GetLost():
		return b, returned, ErrLost
	case reply.GetUnavailable():
		return b, returned, ErrUnavailable
	}
	return b, returned, nil
}
