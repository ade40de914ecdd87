package process

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/pipeline"
)

// TestUnfinishedRequestHeadersShareMemory guards against many callers that send long headers and do not end
// them: what all of them hold must be bounded, and be returned when they leave.
func TestUnfinishedRequestHeadersShareMemory(t *testing.T) {
	const callers, maxHeap = 200, 48 << 20
	s, err := Listen("127.0.0.1:0", http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	s.pipeline, s.listener = pipeline.Install(s.http, s.listener)
	go s.Serve()
	defer func() { _ = s.http.Close() }()
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
	for i := 0; b.Len() < maxHeaderBytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	head := b.String()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var conns []net.Conn
	refused := make(chan struct{}, callers)
	for range callers {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
		go func() {
			_, _ = io.Copy(io.Discard, c)
			refused <- struct{}{}
		}()
		// A refused caller's connection may end while it writes.
		_, _ = io.WriteString(c, head)
	}
	timeout := time.After(5 * time.Second)
	for range callers - 100 {
		select {
		case <-refused:
		case <-timeout:
			t.Error("less than half of the callers were refused")
		}
		if t.Failed() {
			break
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("heap grown by %d, %d counted", grown, s.pipeline.Status().HeadBytes)
	if grown > maxHeap {
		t.Errorf("heap grown by %d, want at most %d", grown, maxHeap)
	}
	for _, c := range conns {
		c.Close()
	}
	for end := time.Now().Add(5 * time.Second); s.pipeline.Status().HeadBytes != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes stay counted", s.pipeline.Status().HeadBytes)
		}
	}
	resp, err := http.Get("http://" + s.listener.Addr().String())
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("a request afterwards: %v, %v", resp, err)
	}
}
