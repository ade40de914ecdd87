// Package configlog keeps the configuration as a log of accepted changes in the
// platform's key-value service.
//
// A change is one record, written with one compare-and-swap, so it is accepted
// wholly or not at all. The log is a ring of keys: revision r is stored in slot
// r mod RingSize. The writer of r has read r-1 and swaps against the version of
// the slot that holds r-RingSize, or against an absent key in the first round;
// of several writers the first wins. Old slots are overwritten and never
// deleted: an absent key would let a writer that was paused across the deletion
// write a revision long past.
//
// Log holds the state that results from the records and does no I/O. Committer writes records,
// Reader applies records from the store, and a Snapshot brings a Log up to date
// when older records are overwritten.
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
	// RecordFormat is the version of the record encoding that is written and read.
	RecordFormat = 1
	// MaxRecordBytes is the largest encoded record in bytes.
	MaxRecordBytes = 64 << 10
	// MaxEdits is the largest number of edits in one change.
	MaxEdits = 2000
	// MaxChangeIDBytes is the largest length of a change ID in bytes.
	MaxChangeIDBytes = 64
	// MaxTextBytes is the largest length of a value, author or note in bytes.
	MaxTextBytes = 4096
)

// Change is a set of edits that an operator submits. The edits are accepted or
// refused together.
type Change struct {
	// ID is set by the author and stays the same when the change is sent again,
	// so that the change is not applied twice.
	ID     string
	Author string
	Note   string
	// Base is the revision on which the author based the edits. The change is
	// refused if an edited path was written after Base.
	Base  uint64
	Edits []tree.Edit
}

// Record is a change with the revision and time at which it was accepted.
type Record struct {
	Change
	Revision uint64
	Time     time.Time
}

// DecodeError reports a stored or received record, snapshot or head that is
// malformed or, for a record, too large.
type DecodeError struct {
	// Object names the kind of value, such as "record".
	Object string
	Reason string
}

// Error implements error.
func (e *DecodeError) Error() string { return "configlog: " + e.Object + ": " + e.Reason }

// Encode returns the stored form of a record, or a DecodeError if it is larger
// than MaxRecordBytes.
func (r Record) Encode() ([]byte, error) {
	b, err := proto.Marshal(r.Proto())
	if err == nil && len(b) > MaxRecordBytes {
		err = &DecodeError{"record", fmt.Sprintf("%d bytes, at most %d", len(b), MaxRecordBytes)}
	}
	return b, err
}

// Decode returns the record of a stored form. The error is a DecodeError.
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

// Proto returns the protobuf message of a record.
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

// FromProto checks a message and returns its record. The error is a DecodeError.
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
	if err := r.checkSizes(); err != nil {
		return Record{}, &DecodeError{"record", err.Error()}
	}
	return r, nil
}

// checkSizes checks the sizes of a change, not its edits' paths, keys and values.
func (c *Change) checkSizes() error {
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

// slotKey returns the store key of a revision's slot.
func slotKey(revision uint64) string {
	return fmt.Sprintf("log/%d", revision%RingSize)
}

// Store keys of the head and of the snapshot pointer.
const (
	headKey     = "head"
	snapshotKey = "snapshot"
)
