package forward

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
)

// TestMalformedResponseEndsItsConnection sends a malformed response to the second request on a connection, in front of a
// valid one. The request must fail, and the connection be closed, so that the next request gets another one.
func TestMalformedResponseEndsItsConnection(t *testing.T) {
	for name, malformed := range map[string]string{
		"field name": "HTTP/1.1 200 OK\r\nX Note: a\r\n" + idHeader + ": b\r\nContent-Length: 0\r\n\r\n",
		"framing":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + idHeader + ": b\r\nContent-Length: 0\r\n\r\n0\r\n\r\n",
		"status":     "HTTP/1.1 000 Trouble\r\n" + idHeader + ": b\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			s := newScriptedUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
				for range 2 {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					if id == "b" {
						_, _ = io.WriteString(c, malformed)
					}
					_, _ = io.WriteString(c, answerTo(id))
				}
				if n == 0 {
					_, err := r.ReadByte()
					ended <- err
				}
			})
			p := newTestPool()
			if got, err := s.send(t, p, "a", "/", nil, 0); got != "a" || err != nil {
				t.Fatalf("the first request got %q, %v", got, err)
			}
			if got, err := s.send(t, p, "b", "/", nil, 0); !errors.Is(err, errMalformed) {
				t.Errorf("the second request got %q, %v", got, err)
			}
			if err := <-ended; err == nil {
				t.Error("bytes came on the connection behind the malformed response")
			}
			if got, err := s.send(t, p, "c", "/", nil, 0); got != "c" || err != nil || len(s.conns) != 2 {
				t.Errorf("the third request got %q, %v; %d connections", got, err, len(s.conns))
			}
		})
	}
}
