package rpc

import (
	"context"
	"errors"
	"io"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// maxSnapshotParts bounds the parts of a received snapshot, which must have fewer
// parts.
const maxSnapshotParts = 4096

// PeerClient calls the Peer service of other agents over drpc.
type PeerClient struct{ dialer *Dialer }

// NewPeerClient returns a PeerClient that connects with dialer.
func NewPeerClient(dialer *Dialer) *PeerClient { return &PeerClient{dialer} }

// Exchange calls Exchange on the agent at addr.
func (p *PeerClient) Exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	conn := p.dialer.Conn(addr)
	defer conn.Close()
	return pb.NewDRPCPeerClient(conn).Exchange(ctx, req)
}

// Push calls Push on the agent at addr.
func (p *PeerClient) Push(ctx context.Context, addr string, req *pb.PushRequest) (*pb.PushReply, error) {
	conn := p.dialer.Conn(addr)
	defer conn.Close()
	return pb.NewDRPCPeerClient(conn).Push(ctx, req)
}

// Snapshot calls Snapshot on the agent at addr and calls visit with every part of
// its state, in order. If the state is not newer than revision above, there are no
// parts. If visit returns an error, Snapshot stops and returns that error.
func (p *PeerClient) Snapshot(ctx context.Context, addr string, above uint64, visit func(*pb.SnapshotPart) error) error {
	conn := p.dialer.Conn(addr)
	defer conn.Close()
	stream, err := pb.NewDRPCPeerClient(conn).Snapshot(ctx, &pb.SnapshotRequest{Above: above})
	if err != nil {
		return err
	}
	defer stream.Close()
	for range maxSnapshotParts {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := visit(part); err != nil {
			return err
		}
	}
	return errors.New("rpc: snapshot has too many parts")
}
