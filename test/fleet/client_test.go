package fleet

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/loomkeel/loomkeel/internal/verdict"
)

// TestCallerDoesNotRepeat lets an entry die after it has read a request on a
// connection that served one before. A client that repeats the request by itself
// finds nobody to connect to, and would take it for not run.
func TestCallerDoesNotRepeat(t *testing.T) {
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
		t.Fatalf("first request: %+v", first)
	}
	if second := Do(t.Context(), req); second.CallerVerdict() != verdict.MayHaveRun {
		t.Errorf("told %v: %v", second.CallerVerdict(), second.Err)
	}
}
