// Package relay lets one entry of each failure domain follow a key-value service
// for the others, which follow that entry.
package relay

import (
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// Record is a key with its value, or the end of a key.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is that of the last change of the key.
	Revision int64 `json:"revision"`
	// Deleted is set in a change that ended the key.
	Deleted bool `json:"deleted"`
}

// Batch is what changed since a revision.
type Batch struct {
	// Whole is set if the records are all that there are, rather than changes.
	Whole   bool
	Records []Record
	// Revision is from where to go on.
	Revision int64
}

func recordsToProto(rs []Record) []*pb.KeyRecord {
	out := make([]*pb.KeyRecord, len(rs))
	for i, r := range rs {
		out[i] = &pb.KeyRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted}
	}
	return out
}

func recordsFromProto(ms []*pb.KeyRecord) []Record {
	out := make([]Record, len(ms))
	for i, m := range ms {
		out[i] = Record{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted()}
	}
	return out
}
