package relay

import (
	"context"
	"errors"

	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// ErrLeaseNotFound means that a lease has expired or was revoked.
var ErrLeaseNotFound = errors.New("relay: lease not found in the key-value store")

// RenewFunc renews a lease at the key-value store. It returns ErrLeaseNotFound if there is no such
// lease.
type RenewFunc func(ctx context.Context, lease int64) error

// SetRenewer sets the function by which the Server renews leases for peers. Without it, every such
// request is rejected. SetRenewer must be called before the Server is used.
func (s *Server) SetRenewer(renew RenewFunc) { s.renew = renew }

// RenewLease implements pb.DRPCRelayServer.
func (s *Server) RenewLease(ctx context.Context, req *pb.RenewLeaseRequest) (*pb.RenewLeaseReply, error) {
	err := ErrStoreUnreachable
	if s.renew != nil {
		err = s.renew(ctx, req.GetLease())
	}
	expired := errors.Is(err, ErrLeaseNotFound)
	return &pb.RenewLeaseReply{Expired: expired, Unavailable: err != nil && !expired}, nil
}

// RenewCall asks the peer at an address to renew a lease.
type RenewCall func(ctx context.Context, addr string, req *pb.RenewLeaseRequest) (*pb.RenewLeaseReply, error)

// NewRenewCall returns a RenewCall that uses a dialer's connections.
func NewRenewCall(dialer *rpc.Dialer) RenewCall {
	return func(ctx context.Context, addr string, req *pb.RenewLeaseRequest) (*pb.RenewLeaseReply, error) {
		conn := dialer.Conn(addr)
		defer conn.Close()
		return pb.NewDRPCRelayClient(conn).RenewLease(ctx, req)
	}
}

// Renew asks the peer at an address to renew a lease. It returns ErrLeaseNotFound if there is no such
// lease, and ErrStoreUnreachable if the store does not renew it for the peer either.
func (call RenewCall) Renew(ctx context.Context, addr string, lease int64) error {
	reply, err := call(ctx, addr, &pb.RenewLeaseRequest{Lease: lease})
	switch {
	case err != nil:
		return err
	case reply.GetExpired():
		return ErrLeaseNotFound
	case reply.GetUnavailable():
		return ErrStoreUnreachable
	}
	return nil
}
