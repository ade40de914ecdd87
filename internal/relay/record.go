// Package relay lets one entry of each failure domain follow a key-value service
// for the others, which follow that entry.
package relay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"time"

	"k8s.io/klog/v2"

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

	// packed is the value as it is sent, once it was needed; nil for short values.
	packed []byte
}

// packFrom is from what size in bytes on a value is compressed for peers. A whole
// configuration shrinks to about a tenth, and a reader sends it to all of its
// failure domain over one link.
const packFrom = 8 << 10

// maxUnpacked bounds a value that comes compressed; the service holds no larger.
const maxUnpacked = 4 << 20

// pack compresses a long value.
func (r *Record) pack() {
	if r.packed != nil || len(r.Value) < packFrom {
		return
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(r.Value)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		klog.ErrorS(err, "value not compressed, it is sent as it is", "key", r.Key)
		return
	}
	r.packed = b.Bytes()
}

// unpack restores the value of a record that came compressed.
func (r *Record) unpack() error {
	if len(r.packed) == 0 {
		return nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.packed)), maxUnpacked+1))
	if err != nil {
		return fmt.Errorf("relay: value of %s: %w", r.Key, err)
	}
	if len(value) > maxUnpacked {
		return fmt.Errorf("relay: value of %s: over %d bytes", r.Key, maxUnpacked)
	}
	r.Value = value
	return nil
}

// Batch is what changed since a revision.
type Batch struct {
	// Full is set if the records are all that there are, rather than changes.
	Full    bool
	Records []Record
	// Revision is from where to go on.
	Revision int64
	// CompleteUntil is until when whoever takes the batch certainly knows every change; zero if
	// that is not certain.
	CompleteUntil time.Time
}

func recordsToProto(rs []Record) []*pb.KeyRecord {
	out := make([]*pb.KeyRecord, len(rs))
	for i, r := range rs {
		out[i] = &pb.KeyRecord{Key: r.Key, Revision: r.Revision, Deleted: r.Deleted, Packed: r.packed}
		if r.packed == nil {
			out[i].Value = r.Value
		}
	}
	return out
}

func recordsFromProto(ms []*pb.KeyRecord) ([]Record, error) {
	out := make([]Record, len(ms))
	for i, m := range ms {
		out[i] = Record{Key: m.GetKey(), Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted(), packed: m.GetPacked()}
		if err := out[i].unpack(); err != nil {
			return nil, err
		}
	}
	return out, nil
}
