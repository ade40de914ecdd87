package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// maxResponseHeader is the largest response header in bytes, and maxResponseFields the number of
	// lines after which no more of it is read.
	maxResponseHeader = 64 << 10
	maxResponseFields = 1000
	// fieldOverhead is the memory in bytes that a parsed header field takes beyond its text.
	fieldOverhead = 128
	// unreservedHeader is the memory in bytes of a header that is not counted. Few responses need more.
	unreservedHeader = 16 << 10
)

var (
	errHeaderTooLong  = errors.New("forward: header of the answer is too long")
	errHeaderNoMemory = errors.New("forward: no memory for a long header of an answer")
)

// headerReader reads from an upstream. While a header is read it bounds the header's length, and the
// memory that all unfinished headers of a Pool use together, and keeps the header's bytes.
type headerReader struct {
	src    io.Reader
	memory *buffers
	// reading is set while a header is read, of which size bytes and a number of lines were read so
	// far. The last read may have gone beyond the header.
	reading     bool
	size, lines int
	reserved    int64
	// kept holds the bytes that were buffered at the beginning of the header or have been read since.
	kept []byte
}

// begin is called before a header is read by way of br.
func (h *headerReader) begin(br *bufio.Reader) {
	h.reading, h.size, h.lines = true, 0, 0
	buffered, _ := br.Peek(br.Buffered()) // No error is possible: the bytes are there.
	h.kept = append(h.kept[:0], buffered...)
}

// end is called after a header was read by way of br, and returns the header's bytes. They are valid until
// the next begin.
func (h *headerReader) end(br *bufio.Reader) []byte {
	h.reading = false
	h.memory.release(h.reserved)
	h.reserved = 0
	header := h.kept[:len(h.kept)-br.Buffered()]
	if cap(h.kept) > connBufferSize {
		h.kept = nil
	}
	return header
}

// Read implements io.Reader.
func (h *headerReader) Read(p []byte) (int, error) {
	if !h.reading {
		return h.src.Read(p)
	}
	if h.size >= maxResponseHeader || h.lines > maxResponseFields {
		return 0, errHeaderTooLong
	}
	if !h.reserve() {
		return 0, errHeaderNoMemory
	}
	n, err := h.src.Read(p[:min(len(p), maxResponseHeader-h.size)])
	h.kept = append(h.kept, p[:n]...)
	h.size += n
	h.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// reserve reserves the memory of what was read of the header, as bytes and parsed, and reports whether there
// was as much.
func (h *headerReader) reserve() bool {
	missing := int64(2*h.size+h.lines*fieldOverhead) - unreservedHeader - h.reserved
	if missing <= 0 {
		return true
	}
	if !h.memory.reserve(missing) {
		return false
	}
	h.reserved += missing
	return true
}
