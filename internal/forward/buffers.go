package forward

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// slowReaderTimeout is the longest time that one write to a caller may take, of at most
	// maxBufferedResponse bytes. A caller that reads more slowly loses its connection: it would
	// otherwise hold memory, and for a streamed response an upstream's slot.
	slowReaderTimeout = 10 * time.Second
	// streamBufferSize is the size in bytes of the copy buffer for one streamed body, and
	// smallStreamBufferSize the size while there is no memory for that.
	streamBufferSize      = 32 << 10
	smallStreamBufferSize = 4 << 10
)

// buffers bounds the memory that all requests of an entry together use for bodies: responses that
// are read completely before they are sent, request bodies that are kept for a retry, and copy
// buffers. Without memory, a response is streamed and a request body is not kept.
type buffers struct {
	// limit is in bytes; 0 means no limit.
	limit   int64
	held    atomic.Int64
	refused atomic.Int64
}

// reserve reserves memory of n bytes and reports whether there was as much.
func (b *buffers) reserve(n int64) bool {
	if held := b.held.Add(n); b.limit > 0 && held > b.limit {
		b.held.Add(-n)
		b.refused.Add(1)
		return false
	}
	return true
}

// release returns memory that was reserved.
func (b *buffers) release(n int64) { b.held.Add(-n) }

// streamBuffer returns a copy buffer and the memory reserved for it.
func (b *buffers) streamBuffer() (buf []byte, reserved int64) {
	if b.reserve(streamBufferSize) {
		return make([]byte, streamBufferSize), streamBufferSize
	}
	return make([]byte, smallStreamBufferSize), 0
}

// BufferStatus is the memory that an entry uses for bodies.
type BufferStatus struct {
	// HeldBytes is the memory in use, LimitBytes its limit; 0 means none.
	HeldBytes  int64 `json:"held_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
	// Refused counts the bodies for which there was no memory.
	Refused int64 `json:"refused"`
}

// BufferStatus returns the memory that the entry uses for bodies.
func (p *Proxy) BufferStatus() BufferStatus {
	return BufferStatus{p.buffers.held.Load(), p.buffers.limit, p.buffers.refused.Load()}
}

// limitWrite sets the deadline for the next write to a caller. The returned function removes the
// deadline, so that it does not apply to the next response on the connection.
func limitWrite(w http.ResponseWriter) (remove func()) {
	setWriteDeadline(w, time.Now().Add(slowReaderTimeout))
	return func() { setWriteDeadline(w, time.Time{}) }
}

func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	err := http.NewResponseController(w).SetWriteDeadline(deadline)
	// A ResponseWriter that is not a connection has no deadlines and needs none.
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		klog.V(1).InfoS("setting the deadline for writes to a caller failed", "err", err)
	}
}
