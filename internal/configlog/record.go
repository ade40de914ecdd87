// Package configlog keeps the configuration as a log of accepted changes.
//
// A change is one record, and accepting it is one compare-and-swap in the
// platform's key-value service, so it is accepted wholly or not at all.
// Revision r stands in slot r mod RingSize of a ring of keys. Its writer has
// seen r-1 and swaps against the very version of the slot that holds
// r-RingSize, or against no value in the first round; the first writer wins.
// Old slots are overwritten and never deleted: an absent key would let a writer
// that slept across the deletion write a revision that is long past.
//
// Log is the state that the records lead to, without I/O. Committer writes,
// Reader follows, and snapshots let a newcomer start.
package configlog

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/tree"
)

const (
	// RingSize is the number of slots of the log.
	RingSize = 4096
	// RecordFormat is the newest record format that this program reads.
	RecordFormat = 1
	// MaxRecordBytes is the largest encoded record in bytes.
	MaxRecordBytes = 64 << 10
	// MaxEdits is the largest number of edits in one change.
	MaxEdits = 2000
	// MaxChangeIDBytes is the largest length of a change id in bytes.
	MaxChangeIDBytes = 64
	// MaxTextBytes is the largest length of a value, author or note in bytes.
	MaxTextBytes = 4096
)

// Change is what an operator asks for.
type Change struct {
	// ID is made by the author and stays the same however often the change is
	// sent, so that it cannot be accepted twice.
	ID     string
	Author string
	Note   string
	// Base is the revision that the author has seen. The change is refused if a
	// path that it edits was written after Base.
	Base  uint64
	Edits []tree.Edit
}

// Record is an accepted change.
type Record struct {
	Change
	Revision uint64
	Time     time.Time
}

// DecodeError reports a record, snapshot or hint that cannot be used.
type DecodeError struct {
	Object   string
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string { return "configlog: " + e.Object + ": " + e.Reason }

// Encode returns the stored form of a record.
func (r Record) Encode() ([]byte, error) {
	b, err := proto.Marshal(r.Proto())
	if err == nil && len(b) > MaxRecordBytes {
		err = &DecodeError{"record", fmt.Sprintf("%d bytes, at most %d", len(b), MaxRecordBytes)}
	}
	return b, err
}

// Decode reads the stored form of a record.
func Decode(b []byte) (Record, error) {
	if len(b) > MaxRecordBytes {
		return Record{}, &DecodeError{"record", fmt.Sprintf("%d bytes, at most %d", len(b), MaxRecordBytes)}
	}
	var m pb.Record
	if err := proto.Unmarshal(b, &m); err != nil {
		return Record{}, &DecodeError{"record", err.Error()}
	}
	return FromProto(&m)
}

// Proto returns the message form of a record.
func (r Record) Proto() *pb.Record {
	m := &pb.Record{
		Format:    RecordFormat,
		Revision:  r.Revision,
		ChangeId:  r.ID,
		Author:    r.Author,
		UnixMilli: r.Time.UnixMilli(),
		Base:      r.Base,
		Note:      r.Note,
		Edits:     make([]*pb.Edit, len(r.Edits)),
	}
	for i, e := range r.Edits {
		m.Edits[i] = &pb.Edit{Path: e.Path, Key: e.Key, Value: e.Value, Unset: e.Unset}
	}
	return m
}

// FromProto checks a message and returns its record.
func FromProto(m *pb.Record) (Record, error) {
	if m.GetFormat() != RecordFormat {
		return Record{}, &DecodeError{"record", fmt.Sprintf("format %d, this program reads %d", m.GetFormat(), RecordFormat)}
	}
	r := Record{Revision: m.GetRevision(), Time: time.UnixMilli(m.GetUnixMilli()).UTC()}
	r.Change = Change{ID: m.GetChangeId(), Author: m.GetAuthor(), Note: m.GetNote(), Base: m.GetBase()}
	for _, e := range m.GetEdits() {
		r.Edits = append(r.Edits, tree.Edit{Path: e.GetPath(), Key: e.GetKey(), Value: e.GetValue(), Unset: e.GetUnset()})
	}
	if r.Revision == 0 {
		return Record{}, &DecodeError{"record", "no revision"}
	}
	if err := r.checkForm(); err != nil {
		return Record{}, &DecodeError{"record", err.Error()}
	}
	return r, nil
}

// checkForm checks the sizes of a change, not the meaning of its edits.
func (c *Change) checkForm() error {
	if c.ID == "" || len(c.ID) > MaxChangeIDBytes {
		return fmt.Errorf("change id of %d bytes, allowed are 1 to %d", len(c.ID), MaxChangeIDBytes)
	}
	if len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		return fmt.Errorf("%d edits, allowed are 1 to %d", len(c.Edits), MaxEdits)
	}
	if len(c.Author) > MaxTextBytes || len(c.Note) > MaxTextBytes {
		return fmt.Errorf("author or note longer than %d bytes", MaxTextBytes)
	}
	for _, e := range c.Edits {
		if len(e.Path) > MaxTextBytes || len(e.Key) > MaxTextBytes || len(e.Value) > MaxTextBytes {
			return fmt.Errorf("edit with a part longer than %d bytes", MaxTextBytes)
		}
	}
	return nil
}

// slotKey returns the key of a revision's slot.
func slotKey(revision uint64) string {
	return fmt.Sprintf("log/%d", revision%RingSize)
}

const (
	headKey     = "head"
	snapshotKey = "snapshot"
)
