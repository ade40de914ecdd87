// Package rpc implements the calls between loomkeel's own processes over drpc. It
// contains the connections, the client and server of an agent, and the conversion
// of messages from and to the types of other packages. The generated code is in
// package pb.
package rpc

import (
	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// MemberToProto returns the protobuf message of a member.
func MemberToProto(m membership.Member) *pb.Member {
	return &pb.Member{
		Id:          m.ID,
		Incarnation: m.Incarnation,
		State:       pb.MemberState(m.State),
		Region:      m.Region,
		Domain:      m.Domain,
		Agent:       m.Agent,
		Entry:       m.Entry,
		Director:    m.Director,
	}
}

// MemberFromProto returns the member of a protobuf message.
func MemberFromProto(m *pb.Member) membership.Member {
	return membership.Member{
		ID:          m.GetId(),
		Incarnation: m.GetIncarnation(),
		State:       membership.State(m.GetState()),
		Region:      m.GetRegion(),
		Domain:      m.GetDomain(),
		Agent:       m.GetAgent(),
		Entry:       m.GetEntry(),
		Director:    m.GetDirector(),
	}
}

// MembersToProto returns the protobuf messages of members, in the same order.
func MembersToProto(ms []membership.Member) []*pb.Member {
	out := make([]*pb.Member, len(ms))
	for i, m := range ms {
		out[i] = MemberToProto(m)
	}
	return out
}

// MembersFromProto returns the members of protobuf messages, in the same order.
func MembersFromProto(ms []*pb.Member) []membership.Member {
	out := make([]membership.Member, len(ms))
	for i, m := range ms {
		out[i] = MemberFromProto(m)
	}
	return out
}

// DirectoryToProto returns the protobuf message of a directory.
func DirectoryToProto(d model.Directory) *pb.Directory {
	m := &pb.Directory{Version: d.Version, Upstreams: make([]*pb.Upstream, len(d.Upstreams))}
	for i, u := range d.Upstreams {
		m.Upstreams[i] = &pb.Upstream{
			Id:          u.ID,
			Service:     u.Service,
			Region:      u.Region,
			Domain:      u.Domain,
			Address:     u.Address,
			Slots:       uint32(u.Slots),
			Connections: uint32(u.Connections),
			Leaving:     u.Leaving,
		}
	}
	return m
}

// DirectoryFromProto returns the directory of a protobuf message.
func DirectoryFromProto(m *pb.Directory) model.Directory {
	d := model.Directory{Version: m.GetVersion(), Upstreams: make([]model.Upstream, len(m.GetUpstreams()))}
	for i, u := range m.GetUpstreams() {
		d.Upstreams[i] = model.Upstream{
			ID:          u.GetId(),
			Service:     u.GetService(),
			Region:      u.GetRegion(),
			Domain:      u.GetDomain(),
			Address:     u.GetAddress(),
			Slots:       int(u.GetSlots()),
			Connections: int(u.GetConnections()),
			Leaving:     u.GetLeaving(),
		}
	}
	return d
}

// RecordsToProto returns the protobuf messages of records, in the same order.
func RecordsToProto(rs []configlog.Record) []*pb.Record {
	out := make([]*pb.Record, len(rs))
	for i, r := range rs {
		out[i] = r.Proto()
	}
	return out
}

// RecordsFromProto checks protobuf messages and returns their records. At the first
// invalid message it returns the records before it and the error.
func RecordsFromProto(ms []*pb.Record) ([]configlog.Record, error) {
	var out []configlog.Record
	for _, m := range ms {
		r, err := configlog.FromProto(m)
		if err != nil {
			return out, err
		}
		out = append(out, r)
	}
	return out, nil
}
