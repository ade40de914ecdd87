package relay

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

const (
	// minPackedRecords is the number of records from which a batch is sent packed. The records of
	// a store resemble each other, and a batch shrinks to a fifth.
	minPackedRecords = 16
	// maxPackedSize limits the size in bytes of an unpacked batch.
	maxPackedSize = 64 << 20
	// fullPackLifetime is how long a packed full batch is sent although the store has changed
	// since; its receiver asks for the changes next. When a fleet starts, all followers of a
	// reader need a full batch at the same time.
	fullPackLifetime = 2 * time.Second
)

// packedBatch is a batch in the form in which it is sent to all followers that need it.
type packedBatch struct {
	full          bool
	revision      int64
	completeUntil time.Time
	packed        []byte
	packedAt      time.Time
}

// packer packs the batches of a Cache, each of them once for all followers. It is safe for
// concurrent use.
type packer struct {
	cache *Cache
	mu    sync.Mutex
	// full is the last full batch, changes has the batches up to the Cache's last revision by the
	// revision after which they begin.
	full    *packedBatch
	changes map[int64]*packedBatch
}

// batch returns the records after a revision, packed if there are many.
func (p *packer) batch(after int64, now time.Time) (Batch, []byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.cache.position(after)
	if known := p.known(after, at, now); known != nil {
		b := Batch{Full: known.full, Revision: known.revision, CompleteUntil: known.completeUntil}
		if known.revision == at.revision {
			b.CompleteUntil = at.completeUntil
		}
		return b, known.packed, nil
	}
	b, _, _ := p.cache.since(after)
	if len(b.Records) < minPackedRecords {
		return b, nil, nil
	}
	packed, err := pack(b.Records)
	if err != nil {
		return b, nil, err
	}
	p.keep(after, &packedBatch{b.Full, b.Revision, b.CompleteUntil, packed, now})
	b.Records = nil
	return b, packed, nil
}

// known returns a packed batch for a follower that has all records up to a revision; nil if there
// is none.
func (p *packer) known(after int64, at position, now time.Time) *packedBatch {
	if !at.full {
		if b := p.changes[after]; b != nil && b.revision == at.revision {
			return b
		}
		return nil
	}
	if p.full != nil && p.full.revision > after && now.Sub(p.full.packedAt) < fullPackLifetime {
		return p.full
	}
	return nil
}

// keep keeps a packed batch for other followers, and drops those of earlier revisions.
func (p *packer) keep(after int64, b *packedBatch) {
	if b.full {
		p.full = b
		return
	}
	for known, old := range p.changes {
		if old.revision != b.revision {
			delete(p.changes, known)
		}
	}
	if p.changes == nil {
		p.changes = make(map[int64]*packedBatch)
	}
	p.changes[after] = b
}

// pack encodes and compresses records.
func pack(records []Record) ([]byte, error) {
	raw, err := proto.Marshal(&pb.KeyRecords{Records: recordsToProto(records)})
	if err != nil {
		return nil, err
	}
	return deflate(raw)
}

// unpack decodes the output of pack.
func unpack(packed []byte) ([]*pb.KeyRecord, error) {
	raw, err := inflate(packed, maxPackedSize)
	if err != nil {
		return nil, fmt.Errorf("relay: unpack records: %w", err)
	}
	var out pb.KeyRecords
	if err := proto.Unmarshal(raw, &out); err != nil {
		return nil, fmt.Errorf("relay: unpack records: %w", err)
	}
	return out.GetRecords(), nil
}
