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
	// ErrStoreUnreachable means that the peer has lost the service.
	ErrStoreUnreachable = errors.New("relay: peer has lost the service")
)

// Server serves a Cache to peers.
type Server struct {
	cache *Cache
	// maxAge is how old the knowledge of an entry may be that others follow. One that
	// hears nothing answers them all the same, and would keep them deaf with it.
	maxAge time.Duration
	now    func() time.Time
}

var _ pb.DRPCRelayServer = (*Server)(nil)

// NewServer returns the Server of a Cache, which peers may follow while what it holds is not
// older than maxAge.
func NewServer(c *Cache, maxAge time.Duration, now func() time.Time) *Server {
	return &Server{c, maxAge, now}
}

// NewMux returns the drpc service of a Server.
func NewMux(s *Server) (*drpcmux.Mux, error) {
	mux := drpcmux.New()
	return mux, pb.DRPCRegisterRelay(mux, s)
}

// Changes implements pb.DRPCRelayServer.
func (s *Server) Changes(ctx context.Context, req *pb.RelayRequest) (*pb.RelayReply, error) {
	asked := s.now()
	wait := min(maxWait, time.Duration(req.GetWaitMilli())*time.Millisecond)
	b, state := s.cache.Wait(ctx, req.GetAfter(), wait)
	followed := state.Following && s.now().Sub(b.CompleteUntil) < s.maxAge
	reply := &pb.RelayReply{Unavailable: !followed, Lost: state.Unreachable, AgeMilli: asked.Sub(b.CompleteUntil).Milliseconds()}
	if ago := s.now().Sub(state.RecoveredAt); !state.RecoveredAt.IsZero() && ago < returnedRecently {
		reply.ReturnedMilli = uint32(max(1, ago.Milliseconds()))
	}
	// What is known is told also by one that cannot be followed: it may have been told of a
	// change just before it lost the service, and whoever asks may have nobody else to ask.
	reply.Whole, reply.Records, reply.Revision = b.Full, recordsToProto(b.Records), b.Revision
	return reply, nil
}

// Call asks the peer at an address for changes.
type Call func(ctx context.Context, addr string, req *pb.RelayRequest) (*pb.RelayReply, error)

// NewCall returns the Call that goes over a dialer's connections.
func NewCall(dialer *rpc.Dialer) Call {
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

// Reply is what a peer tells.
type Reply struct {
	Batch
	// RecoveredAt is when the service was reached again after a loss; zero if that is long
	// past. It is told also by a peer that cannot be followed now.
	RecoveredAt time.Time
}

// Changes asks the peer at an address for what changed after a revision, for which
// it may wait. With ErrLost and ErrUnavailable the reply has what the peer knows, which need
// not be all.
func (c *Client) Changes(ctx context.Context, addr string, after int64, wait time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	asked := c.now()
	answer, err := c.call(ctx, addr, &pb.RelayRequest{After: after, WaitMilli: uint32(wait.Milliseconds())})
	if err != nil {
		return Reply{}, err
	}
	var reply Reply
	if ago := answer.GetReturnedMilli(); ago > 0 {
		reply.RecoveredAt = c.now().Add(-time.Duration(ago) * time.Millisecond)
	}
	records, err := recordsFromProto(answer.GetRecords())
	if err != nil {
		return reply, err
	}
	reply.Batch = Batch{Full: answer.GetWhole(), Records: records, Revision: answer.GetRevision()}
	switch {
	case answer.GetLost():
		return reply, ErrStoreUnreachable
	case answer.GetUnavailable():
		return reply, ErrUnavailable
	}
	// The question was under way for an unknown part of the time, so that its age counts
	// from when it was sent.
	reply.CompleteUntil = asked.Add(-time.Duration(answer.GetAgeMilli()) * time.Millisecond)
	return reply, nil
}
