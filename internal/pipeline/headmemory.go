package pipeline

import (
	"bytes"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// maxHeadMemory bounds the memory of the long heads of requests that are being read, by Server, and
	// unreservedHead is the memory of a head that is not counted. Few requests need more.
	maxHeadMemory  = 16 << 20
	unreservedHead = 8 << 10
	// fieldOverhead is the memory in bytes that a parsed header field takes beyond its text.
	fieldOverhead = 128
)

var errHeadMemory = errors.New("pipeline: no memory for a long head of a request")

// headMemory counts the memory of the head that net/http reads from a connection. It is safe for
// concurrent use: net/http closes a connection while it reads it.
type headMemory struct {
	total *atomic.Int64
	mu    sync.Mutex
	// reading is set while net/http reads a head, of which size bytes and a number of lines were read.
	reading     bool
	size, lines int
	reserved    int64
}

// begin is called before a head is read.
func (h *headMemory) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading, h.size, h.lines = true, 0, 0
}

// end is called when a head was read, or the connection has ended.
func (h *headMemory) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reading = false
	h.total.Add(-h.reserved)
	h.reserved = 0
}

// reserve is called before each read. It returns an error if there is no memory for what was read of the
// head before.
func (h *headMemory) reserve() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	missing := int64(h.size+h.lines*fieldOverhead) - unreservedHead - h.reserved
	if !h.reading || missing <= 0 {
		return nil
	}
	if h.total.Add(missing) > maxHeadMemory {
		h.total.Add(-missing)
		return errHeadMemory
	}
	h.reserved += missing
	return nil
}

// add is called with what was read.
func (h *headMemory) add(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reading {
		h.size += len(p)
		h.lines += bytes.Count(p, []byte{'\n'})
	}
}

// Read implements net.Conn for net/http, which makes one call at a time.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.heads.reserve(); err != nil {
		return 0, err
	}
	n, err := c.read(p)
	c.heads.add(p[:n])
	return n, err
}

// stateChanged is called with each state that net/http gives the connection. It reads a head from the
// state new or idle until the state active.
func (c *conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.heads.begin()
	case http.StateActive, http.StateHijacked, http.StateClosed:
		c.heads.end()
	}
}
