package rpc

import (
	"context"

	"storj.io/drpc/drpcmux"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// Handler handles the calls of the services of an agent.
type Handler interface {
	HandleExchange(ctx context.Context, req *pb.ExchangeRequest) *pb.ExchangeReply
	HandlePush(ctx context.Context, req *pb.PushRequest) *pb.PushReply
	HandleSnapshot(req *pb.SnapshotRequest, send func(*pb.SnapshotPart) error) error
	HandleFollow(ctx context.Context, req *pb.FollowRequest, send func(*pb.View) error) error
	HandleReport(req *pb.ReportRequest) *pb.ReportReply
}

// NewMux returns a mux with the Peer and Node services, whose calls h handles.
func NewMux(h Handler) (*drpcmux.Mux, error) {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, &peerServer{h}); err != nil {
		return nil, err
	}
	return mux, pb.DRPCRegisterNode(mux, &nodeServer{h})
}

// peerServer implements the Peer service.
type peerServer struct{ handler Handler }

// Exchange implements pb.DRPCPeerServer.
func (s *peerServer) Exchange(ctx context.Context, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	return s.handler.HandleExchange(ctx, req), nil
}

// Push implements pb.DRPCPeerServer.
func (s *peerServer) Push(ctx context.Context, req *pb.PushRequest) (*pb.PushReply, error) {
	return s.handler.HandlePush(ctx, req), nil
}

// Snapshot implements pb.DRPCPeerServer.
func (s *peerServer) Snapshot(req *pb.SnapshotRequest, stream pb.DRPCPeer_SnapshotStream) error {
	return s.handler.HandleSnapshot(req, stream.Send)
}

// nodeServer implements the Node service.
type nodeServer struct{ handler Handler }

// Follow implements pb.DRPCNodeServer.
func (s *nodeServer) Follow(req *pb.FollowRequest, stream pb.DRPCNode_FollowStream) error {
	return s.handler.HandleFollow(stream.Context(), req, stream.Send)
}

// Report implements pb.DRPCNodeServer.
func (s *nodeServer) Report(_ context.Context, req *pb.ReportRequest) (*pb.ReportReply, error) {
	return s.handler.HandleReport(req), nil
}
