package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"
)

const (
	// endlessBytes is how many bytes an endless reply or request has, so that the test ends.
	endlessBytes = 64 << 20
	// maxCallMemory is how much memory may be allocated for one.
	maxCallMemory = 48 << 20
)

// frame returns an encoded frame of the first message of the first stream.
func frame(kind drpcwire.Kind, data string, done, control bool) string {
	return string(drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: []byte(data), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind, Done: done, Control: control,
	}))
}

// endlessFrames are the ways in which a peer can send bytes without end.
func endlessFrames() map[string][2]string {
	long := strings.Repeat("x", 1000)
	unfinished := string(drpcwire.AppendVarint([]byte{byte(drpcwire.KindMessage) << 1, 1, 1}, 1<<40))
	return map[string][2]string{
		"no frame":          {"", "x"},
		"zeros":             {"", "\x00"},
		"long number":       {"", "\xff"},
		"endless frame":     {unfinished, "x"},
		"endless message":   {"", frame(drpcwire.KindMessage, long, false, false)},
		"endless invoke":    {"", frame(drpcwire.KindInvoke, long, false, false)},
		"endless metadata":  {"", frame(drpcwire.KindInvokeMetadata, long, false, false)},
		"endless error":     {"", frame(drpcwire.KindError, long, false, false)},
		"unknown kind":      {"", frame(50, long, false, false)},
		"unknown control":   {"", frame(50, long, false, true)},
		"an HTTP response":  {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"finished messages": {"", frame(drpcwire.KindMessage, strings.Repeat("\xff", 1000), true, false)},
	}
}

// writeEndless writes until an error or endlessBytes, and returns the number of bytes and the error.
func writeEndless(c io.Writer, tt [2]string) (int, error) {
	part := strings.Repeat(tt[1], max(1, 4096/len(tt[1])))
	n := 0
	_, err := io.WriteString(c, tt[0])
	for err == nil && n < endlessBytes {
		_, err = io.WriteString(c, part)
		n += len(part)
	}
	return n, err
}

// allocated returns the bytes that f allocates.
func allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// TestEndlessReplyEndsTheConnection has a peer reply with bytes without end. The call must fail, and the
// connection be closed.
func TestEndlessReplyEndsTheConnection(t *testing.T) {
	for name, tt := range endlessFrames() {
		t.Run(name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer lis.Close()
			ended := make(chan int, 1)
			go func() {
				c, err := lis.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = c.Read(make([]byte, 1000))
				n, _ := writeEndless(c, tt)
				ended <- n
			}()
			var written int
			used := allocated(func() {
				_, err = newClient(t).Changes(t.Context(), lis.Addr().String(), 1, time.Millisecond)
				written = <-ended
			})
			t.Logf("%d bytes read, %d allocated: %v", written, used, err)
			if err == nil || written >= endlessBytes || used > maxCallMemory {
				t.Errorf("%d bytes read, %d allocated: %v", written, used, err)
			}
		})
	}
}

// TestEndlessRequestIsNotRead sends a node bytes without end as a peer does. The node must close the
// connection, or read no more where messages come before any call.
func TestEndlessRequestIsNotRead(t *testing.T) {
	for name, tt := range endlessFrames() {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", serve(t, NewCache()))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			patience := time.Minute
			if name == "finished messages" {
				patience = 5 * time.Second
			}
			if err := c.SetWriteDeadline(time.Now().Add(patience)); err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
			var written int
			used := allocated(func() { written, err = writeEndless(c, tt) })
			t.Logf("%d bytes read, %d allocated: %v", written, used, err)
			closed := !errors.Is(err, os.ErrDeadlineExceeded)
			if written >= endlessBytes || used > maxCallMemory || !closed && name != "finished messages" {
				t.Errorf("%d bytes read, %d allocated: %v", written, used, err)
			}
		})
	}
}

// TestInflateStopsAtItsLimit inflates a few bytes that become many.
func TestInflateStopsAtItsLimit(t *testing.T) {
	packed, err := deflate(bytes.Repeat([]byte{0}, 64<<20))
	if err != nil {
		t.Fatal(err)
	}
	used := allocated(func() { _, err = inflate(packed, 1<<20) })
	if err == nil || used > 16<<20 {
		t.Errorf("%d bytes allocated: %v", used, err)
	}
}
