package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// shortFields returns distinct header fields of about n bytes.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// headerOnly returns an upstream that sends part of a header in response to the first request of each of
// n connections, and nothing more. Each connection is sent to ended once the client has closed it.
func headerOnly(t *testing.T, n int, fields string) (s *scriptedUpstream, ended chan struct{}) {
	ended = make(chan struct{}, n)
	return newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer func() { ended <- struct{}{} }()
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields)
		_, _ = r.ReadByte()
	}), ended
}

// TestEndlessShortFieldsEndTheConnection guards against headers of many short fields, which take many times
// the memory of their bytes.
func TestEndlessShortFieldsEndTheConnection(t *testing.T) {
	s, ended := headerOnly(t, 1, shortFields(maxResponseHeader-1000))
	if got, err := s.send(t, newTestPool(), "a", "/", nil, 0); !errors.Is(err, errHeaderTooLong) {
		t.Errorf("got %q, %v", got, err)
	}
	<-ended
}

// TestUnfinishedHeadersShareMemory guards against many requests that wait for the end of long headers: what
// all of them hold must stay within the limit, and be returned.
func TestUnfinishedHeadersShareMemory(t *testing.T) {
	const conns, maxHeaders = 64, 1 << 20
	for name, fields := range map[string]string{
		"short fields": shortFields(5 * (maxResponseFields - 200)),
		"long fields":  strings.Repeat("Name: "+strings.Repeat("x", 1000)+"\r\n", 60),
		"one field":    "Name: " + strings.Repeat("x", 60_000),
	} {
		t.Run(name, func(t *testing.T) {
			s, ended := headerOnly(t, conns, fields)
			p := newTestPool()
			p.headers.limit = maxHeaders
			before := heapInUse()
			ctx, cancel := context.WithCancel(t.Context())
			var requests sync.WaitGroup
			for range conns {
				requests.Go(func() {
					req := &http.Request{Method: http.MethodGet, Host: "x", URL: &url.URL{Scheme: "http", Host: s.lis.Addr().String(), Path: "/"}}
					if resp, err := p.RoundTrip(req.WithContext(ctx)); err == nil {
						t.Errorf("response %s", resp.Status)
					}
				})
				<-s.conns
			}
			left := maxHeaders / (len(fields) + strings.Count(fields, "\n")*fieldOverhead - unreservedHeader)
			timeout := time.After(10 * time.Second)
			for range conns - left {
				select {
				case <-ended:
				case <-timeout:
					t.Fatalf("too few connections closed, heap grown by %d bytes", heapInUse()-before)
				}
			}
			held, heap := p.headers.held.Load(), heapInUse()-before
			t.Logf("%d bytes reserved, heap grown by %d, at most %d of %d headers held", held, heap, left, conns)
			if held > maxHeaders || heap > maxHeaders+conns*(unreservedHeader+32<<10) {
				t.Errorf("%d bytes reserved, heap grown by %d, limit %d", held, heap, maxHeaders)
			}
			cancel()
			requests.Wait()
			if held := p.headers.held.Load(); held != 0 {
				t.Errorf("%d bytes stay reserved", held)
			}
		})
	}
}
