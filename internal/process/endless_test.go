package process

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/pipeline"
)

// TestEndlessRequestsEndTheConnection sends requests without end in each part that is read before the handler
// reads a body, alone and behind a request that is in progress.
func TestEndlessRequestsEndTheConnection(t *testing.T) {
	const endlessBytes, maxMemory = 64 << 20, 16 << 20
	const get = "GET /x HTTP/1.1\r\nHost: x\r\n"
	for name, tt := range map[string]struct{ begin, repeat string }{
		"no request":              {"", "x"},
		"empty lines":             {"", "\r\n"},
		"target":                  {"GET /", "x"},
		"field":                   {get + "Name: ", "x"},
		"fields":                  {get, "Name: value\r\n"},
		"short fields":            {get, "a:\r\n"},
		"unread body":             {"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", "x"},
		"unread chunks":           {"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension":         {"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":                 {"POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ", "x"},
		"fields behind a request": {get + "\r\n" + get, "Name: value\r\n"},
		"bytes behind a request":  {get + "\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					time.Sleep(50 * time.Millisecond)
				}
				w.WriteHeader(http.StatusOK)
			}))
			if err != nil {
				t.Fatal(err)
			}
			s.pipeline, s.listener = pipeline.Install(s.http, s.listener)
			go s.Serve()
			defer func() { _ = s.http.Close() }()
			c, err := net.Dial("tcp", s.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			part := []byte(strings.Repeat(tt.repeat, 4096))
			n := 0
			_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
			_, err = io.WriteString(c, tt.begin)
			for err == nil && n < endlessBytes {
				_, err = c.Write(part)
				n += len(part)
			}
			runtime.ReadMemStats(&after)
			used := after.TotalAlloc - before.TotalAlloc
			t.Logf("%d bytes read, %d allocated: %v", n, used, err)
			if n >= endlessBytes || used > maxMemory {
				t.Errorf("%d bytes read, %d allocated: %v", n, used, err)
			}
		})
	}
}
