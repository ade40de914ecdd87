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
	// maxWait limits how long the server holds a reply back while there is no change.
	maxWait = 5 * time.Second
	// replyMargin is how long a reply may take beyond the requested wait. A call to a peer
	// that is frozen or cut off ends after it.
	replyMargin = 500 * time.Millisecond
	// fullReplyMargin is the same for the first reply to a node, which has all records: when a
	// fleet starts, a reader sends these to all its followers at the same time.
	fullReplyMargin = 3 * time.Second
	// recoveryReportTime is how long after an outage of the store replies report its end.
	recoveryReportTime = 10 * time.Second
)

// Errors of a peer that cannot be followed now.
var (
	// ErrUnavailable means that the peer does not follow the store itself, or that it may
	// lack changes older than its server's maximum age.
	ErrUnavailable = errors.New("relay: peer does not follow the key-value store or lags behind it")
	// ErrStoreUnreachable means that the peer considers the store unreachable.
	ErrStoreUnreachable = errors.New("relay: peer cannot reach the key-value store")
)

// Server serves a Cache to peers.
type Server struct {
	cache *Cache
	// maxAge is how long ago CompleteUntil may be while peers follow this node. A node that
	// no longer receives changes still replies, and would keep its followers from them.
	maxAge time.Duration
	now    func() time.Time
	packer packer
	// renew renews leases for peers; nil if the Server renews none.
	renew RenewFunc
}

var _ pb.DRPCRelayServer = (*Server)(nil)

// NewServer returns the Server of a Cache. Peers may follow it while the Cache is complete up
// to a time less than maxAge ago.
func NewServer(c *Cache, maxAge time.Duration, now func() time.Time) *Server {
	return &Server{cache: c, maxAge: maxAge, now: now, packer: packer{cache: c}}
}

// NewMux returns a mux with the drpc service of a Server.
func NewMux(s *Server) (*drpcmux.Mux, error) {
	mux := drpcmux.New()
	return mux, pb.DRPCRegisterRelay(mux, s)
}

// Changes implements pb.DRPCRelayServer.
func (s *Server) Changes(ctx context.Context, req *pb.RelayRequest) (*pb.RelayReply, error) {
	received := s.now()
	wait := min(maxWait, time.Duration(req.GetWaitMilli())*time.Millisecond)
	s.cache.waitChange(ctx, req.GetAfter(), wait)
	b, packed, err := s.batch(req)
	if err != nil {
		return nil, err
	}
	state := s.cache.position(0).state
	followable := state.Following && s.now().Sub(b.CompleteUntil) < s.maxAge
	reply := &pb.RelayReply{Unavailable: !followable, Lost: state.Unreachable, AgeMilli: received.Sub(b.CompleteUntil).Milliseconds()}
	if ago := s.now().Sub(state.RecoveredAt); !state.RecoveredAt.IsZero() && ago < recoveryReportTime {
		reply.ReturnedMilli = uint32(max(1, ago.Milliseconds()))
	}
	// The records are sent even if this node cannot be followed: it may have received a change
	// just before it lost the store, and the peer may have no other node to ask.
	reply.Whole, reply.Records, reply.Revision, reply.Packed = b.Full, recordsToProto(b.Records), b.Revision, packed
	return reply, nil
}

// batch returns the records that a request asks for, packed if there are many and the peer
// accepts that.
func (s *Server) batch(req *pb.RelayRequest) (Batch, []byte, error) {
	if req.GetAcceptsPacked() {
		return s.packer.batch(req.GetAfter(), s.now())
	}
	b, _, _ := s.cache.since(req.GetAfter())
	return b, nil, nil
}

// Call requests changes from the peer at an address.
type Call func(ctx context.Context, addr string, req *pb.RelayRequest) (*pb.RelayReply, error)

// NewCall returns a Call that uses a dialer's connections.
func NewCall(dialer *rpc.Dialer) Call {
	return func(ctx context.Context, addr string, req *pb.RelayRequest) (*pb.RelayReply, error) {
		conn := dialer.Conn(addr)
		defer conn.Close()
		return pb.NewDRPCRelayClient(conn).Changes(ctx, req)
	}
}

// Client requests changes from peers.
type Client struct {
	call Call
	now  func() time.Time
}

// NewClient returns a Client that reaches peers by call.
func NewClient(call Call, now func() time.Time) *Client { return &Client{call, now} }

// Reply is a peer's reply.
type Reply struct {
	Batch
	// RecoveredAt is when the store's last outage ended according to the peer; zero if that is
	// more than recoveryReportTime ago. It is also set with ErrStoreUnreachable and ErrUnavailable.
	RecoveredAt time.Time
}

// Changes requests from the peer at an address the records that changed after a revision. The
// peer may hold its reply back for wait while there are none. With ErrStoreUnreachable and
// ErrUnavailable the reply has the records that the peer has, which may lack changes.
func (c *Client) Changes(ctx context.Context, addr string, after int64, wait time.Duration) (Reply, error) {
	margin := replyMargin
	if after == 0 {
		margin = fullReplyMargin
	}
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	sent := c.now()
	resp, err := c.call(ctx, addr, &pb.RelayRequest{After: after, WaitMilli: uint32(wait.Milliseconds()), AcceptsPacked: true})
	if err != nil {
		return Reply{}, err
	}
	var reply Reply
	if ago := resp.GetReturnedMilli(); ago > 0 {
		reply.RecoveredAt = c.now().Add(-time.Duration(ago) * time.Millisecond)
	}
	encoded := resp.GetRecords()
	if len(resp.GetPacked()) > 0 {
		if encoded, err = unpack(resp.GetPacked()); err != nil {
			return reply, err
		}
	}
	records, err := recordsFromProto(encoded)
	if err != nil {
		return reply, err
	}
	reply.Batch = Batch{Full: resp.GetWhole(), Records: records, Revision: resp.GetRevision()}
	switch {
	case resp.GetLost():
		return reply, ErrStoreUnreachable
	case resp.GetUnavailable():
		return reply, ErrUnavailable
	}
	// The age counts from when the request was sent: it was under way to the peer for an
	// unknown part of the time, and an earlier time is the safe estimate.
	reply.CompleteUntil = sent.Add(-time.Duration(resp.GetAgeMilli()) * time.Millisecond)
	return reply, nil
}
