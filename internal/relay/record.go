// Package relay lets one node of each failure domain, the reader, follow a key-value store
// on behalf of the others, which follow the reader.
package relay

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// Record is a key of the store with its value, or the tombstone of a deleted key.
type Record struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store's revision at the last change of the key.
	Revision int64 `json:"revision"`
	// Deleted marks a tombstone.
	Deleted bool `json:"deleted"`

	// compressed is the value as it is sent to peers. It is computed when it is first needed
	// and stays nil for short values.
	compressed []byte
}

// minCompressSize is the size in bytes from which on a value is compressed for peers. A whole
// configuration shrinks to about a tenth, and a reader sends it to all nodes of its failure
// domain over one link.
const minCompressSize = 8 << 10

// maxDecompressedSize limits the size in bytes of a value that arrives compressed. The store
// holds no larger values.
const maxDecompressedSize = 4 << 20

// compress sets r.compressed if the value is long enough. On an error it logs it and the
// value is sent uncompressed.
func (r *Record) compress() {
	if r.compressed != nil || len(r.Value) < minCompressSize {
		return
	}
	compressed, err := deflate(r.Value)
	if err != nil {
		klog.ErrorS(err, "compressing a value failed, sending it uncompressed", "key", r.Key)
		return
	}
	r.compressed = compressed
}

// decompress sets r.Value if the record arrived compressed.
func (r *Record) decompress() error {
	if len(r.compressed) == 0 {
		return nil
	}
	value, err := inflate(r.compressed, maxDecompressedSize)
	if err != nil {
		return fmt.Errorf("relay: decompress value of key %s: %w", r.Key, err)
	}
	r.Value = value
	return nil
}

// Batch holds the records that changed after a revision, or all records.
type Batch struct {
	// Full is set if Records holds all records of the store rather than changes.
	Full    bool
	Records []Record
	// Revision is the store's revision up to which the batch goes; the next batch starts
	// after it.
	Revision int64
	// CompleteUntil is a time up to which the receiver of the batch has certainly seen every
	// change of the store; zero if there is none.
	CompleteUntil time.Time
}

func recordsToProto(rs []Record) []*pb.KeyRecord {
	out := make([]*pb.KeyRecord, len(rs))
	for i, r := range rs {
		out[i] = &pb.KeyRecord{Key: r.Key, Revision: r.Revision, Deleted: r.Deleted, Packed: r.compressed}
		if r.compressed == nil {
			out[i].Value = r.Value
		}
	}
	return out
}

func recordsFromProto(ms []*pb.KeyRecord) ([]Record, error) {
	out := make([]Record, len(ms))
	for i, m := range ms {
		out[i] = Record{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted(), compressed: m.GetPacked()}
		if err := out[i].decompress(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
