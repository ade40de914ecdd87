package rpc

import (
	"context"
	"errors"
	"io"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// maxParts bounds the parts of one snapshot.
const maxParts = 4096

// PeerClient calls other agents over drpc.
type PeerClient struct{ dialer *Dialer }

// NewPeerClient returns a Peers that connects with dialer.
func NewPeerClient(dialer *Dialer) *PeerClient { return &PeerClient{dialer} }

// Exchange calls a peer's Exchange.
func (p *PeerClient) Exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	conn := p.dialer.Conn(addr)
	defer conn.Close()
	return pb.NewDRPCPeerClient(conn).Exchange(ctx, req)
}

// Push calls a peer's Push.
func (p *PeerClient) Push(ctx context.Context, addr string, req *pb.PushRequest) (*pb.PushReply, error) {
	conn := p.dialer.Conn(addr)
	defer conn.Close()
	return pb.NewDRPCPeerClient(conn).Push(ctx, req)
}

// Snapshot calls each with the parts of a peer's state, in order, if it is newer
// than above.
func (p *PeerClient) Snapshot(ctx context.Context, addr string, above uint64, each func(*pb.SnapshotPart) error) error {
	conn := p.dialer.Conn(addr)
	defer conn.Close()
	stream, err := pb.NewDRPCPeerClient(conn).Snapshot(ctx, &pb.SnapshotRequest{Above: above})
	if err != nil {
		return err
	}
	defer stream.Close()
	for range maxParts {
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
	return errors.New("rpc: snapshot with too many parts")
}
