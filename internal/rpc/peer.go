package rpc

import (
	"context"
	"errors"
	"io"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// maxSnapshotParts bounds the parts of a received snapshot. A snapshot with as many
// parts or more is an error.
const maxSnapshotParts = 4096

// PeerClient calls the Peer service of other agents over drpc.
type PeerClient struct{ dialer *Dialer }

// NewPeerClient returns a PeerClient that connects with dialer.
func NewPeerClient(dialer *Dialer) *PeerClient { return &PeerClient{dialer} }

// Exchange calls Exchange at the agent with an address.
func (p *PeerClient) Exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	conn := p.dialer.Conn(addr)
	defer conn.Close()
	return pb.NewDRPCPeerClient(conn).Exchange(ctx, req)
}

// Push calls Push at the agent with an address.
func (p *PeerClient) Push(ctx context.Context, addr string, req *pb.PushRequest) (*pb.PushReply, error) {
	conn := p.dialer.Conn(addr)
	defer conn.Close()
	return pb.NewDRPCPeerClient(conn).Push(ctx, req)
}

// Snapshot calls Snapshot at the agent with an address and calls each for every
// part of its state, in order. If the state is not newer than revision above, there
// are no parts. An error of each ends the call.
func (p *PeerClient) Snapshot(ctx context.Context, addr string, above uint64, each func(*pb.SnapshotPart) error) error {
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
		if err := each(part); err != nil {
			return err
		}
	}
	return errors.New("rpc: snapshot has too many parts")
}
