package fleet

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/loomkeel/loomkeel/internal/verdict"
)

// TestClientDoesNotRetry: an entry closes a reused connection after it has read a
// request, and its listener. If net/http sent the request again by itself, the failed
// dial would give the wrong verdict "not run".
func TestClientDoesNotRetry(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		_, _ = http.ReadRequest(r)
		lis.Close()
	}()
	req := Request{Entry: lis.Addr().String(), Method: "GET", Path: "/", Service: "stock", ID: "a"}
	if first := Do(t.Context(), req); first.CallerVerdict() != verdict.Ran {
		t.Fatalf("first request: %+v, want verdict ran", first)
	}
	if second := Do(t.Context(), req); second.CallerVerdict() != verdict.MayHaveRun {
		t.Errorf("second request: verdict %v (error %v), want may have run", second.CallerVerdict(), second.Err)
	}
}
