package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// TestMalformedPeerResponseIsRejected makes a peer send a malformed response to a request that was handed over to
// it, in front of a valid one. The caller must get a failure that promises nothing, and the connection must not be
// used again.
func TestMalformedPeerResponseIsRejected(t *testing.T) {
	const rest = header.RequestID + ": id-1\r\nContent-Length: 3\r\n\r\nbad"
	for name, malformed := range map[string]string{
		"status 000":          "HTTP/1.1 000 Trouble\r\n" + rest,
		"status 099":          "HTTP/1.1 099 Trouble\r\n" + rest,
		"status 600":          "HTTP/1.1 600 Trouble\r\n" + rest,
		"own status 000":      "HTTP/1.1 000 Trouble\r\n" + verdict.Header + ": not-run\r\n" + rest,
		"blank in a name":     "HTTP/1.1 200 OK\r\nX Note: a\r\n" + rest,
		"coding and length":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"blank behind coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + rest,
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			peer := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(c, malformed+"HTTP/1.1 200 OK\r\n"+rest)
				_, err := r.ReadByte()
				ended <- err
			})
			e, _ := newIsolatedEntry(t, peerOf("n2", "http://"+peer.lis.Addr().String()))
			got := e.send(t, http.MethodPost, "/", "one tree", header.RequestID, "id-1")
			if got.status != http.StatusBadGateway || got.header.Get(verdict.Header) != verdict.MayHaveRun.String() {
				t.Errorf("answered %d, verdict %q, %v", got.status, got.header.Get(verdict.Header), got.bodyErr)
			}
			if err := <-ended; err == nil {
				t.Error("a further request came on the connection")
			}
		})
	}
}
