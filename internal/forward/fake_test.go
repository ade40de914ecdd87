package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/pipeline"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// behaviour is how a fake upstream handles one request.
type behaviour int

const (
	responds behaviour = iota
	// sheds responds 429, with the ID of the request, without running it.
	sheds
	// closesUnread closes the connection without reading the request.
	closesUnread
	// closesAfterRead reads the whole request, which counts as running it, and closes the
	// connection.
	closesAfterRead
	// truncates runs the request and closes the connection in the middle of the response.
	truncates
	// truncatesChunked runs the request and closes the connection between two chunks of the
	// response.
	truncatesChunked
	// closesToEnd runs the request and marks the end of the response by closing the connection.
	closesToEnd
	// wrongID runs the request and responds with another request's ID.
	wrongID
	// shedsUnnamed is sheds without the ID of the request.
	shedsUnnamed
	// shedsLate is responds with a refusal that names no request in the place of the next answer.
	shedsLate
	// invalidStatus runs the request and responds with a status code that HTTP does not have.
	invalidStatus
	// invalidName runs the request and responds with a blank behind the name of a field, which would mark the
	// end of the body.
	invalidName
	// truncatesHead runs the request and closes the connection in the middle of the head of the response.
	truncatesHead
	// resetsBody runs the request and resets the connection in the middle of a response that ends with it.
	resetsBody
	// hangs runs the request and does not respond until the client closes the connection.
	hangs
	// respondsLate responds after lateAfter. It is not among the random behaviours.
	respondsLate
)

// lateAfter is how long respondsLate takes.
const lateAfter = 22 * time.Millisecond

// receivedRequest is a request that a fake upstream has read completely.
type receivedRequest struct {
	id, path, body string
	header         http.Header
}

// fakeUpstream is an upstream on a raw listener, so that it can break off at any point.
type fakeUpstream struct {
	lis  net.Listener
	mu   sync.Mutex
	next []behaviour
	// always is the behaviour after those in next.
	always   behaviour
	requests []receivedRequest
	// upstreamLimit is the limit that complete responses announce, if it is not empty.
	upstreamLimit string
	// clientClosed receives a value when a client closes the connection of a hanging request.
	clientClosed chan struct{}
}

func newFakeUpstream(t testing.TB, next ...behaviour) *fakeUpstream {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeUpstream{lis: lis, next: next, clientClosed: make(chan struct{}, 16)}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

// boundAddress is an address that is bound, but not listened on.
type boundAddress struct {
	net.Listener
	addr net.Addr
}

// Addr implements net.Listener.
func (b boundAddress) Addr() net.Addr { return b.addr }

// newUnreachableUpstream returns an upstream whose address refuses connections. Its port stays
// bound, so that no other listener gets it.
func newUnreachableUpstream(t testing.TB) *fakeUpstream {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := name.(*syscall.SockaddrInet4).Port
	return &fakeUpstream{lis: boundAddress{addr: &net.TCPAddr{IP: net.IP(loopback[:]), Port: port}}}
}

func (f *fakeUpstream) nextBehaviour() behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.next) == 0 {
		return f.always
	}
	b := f.next[0]
	f.next = f.next[1:]
	return b
}

func (f *fakeUpstream) received() []receivedRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]receivedRequest(nil), f.requests...)
}

func (f *fakeUpstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	late := false
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		b := f.nextBehaviour()
		if b == closesUnread {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get(header.RequestID)
		if b != sheds && b != shedsUnnamed {
			f.mu.Lock()
			f.requests = append(f.requests, receivedRequest{id, req.URL.RequestURI(), string(body), req.Header})
			f.mu.Unlock()
		}
		if late {
			f.reply(c, r, shedsUnnamed, id)
		}
		if late = b == shedsLate; !f.reply(c, r, b, id) {
			return
		}
	}
}

// reply responds according to a behaviour and reports whether the connection stays open.
func (f *fakeUpstream) reply(c net.Conn, r *bufio.Reader, b behaviour, id string) bool {
	switch b {
	case closesAfterRead:
		return false
	case respondsLate:
		time.Sleep(lateAfter)
	case sheds:
		fmt.Fprintf(c, "HTTP/1.1 429 Too Many Requests\r\n%s: %s\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", header.RequestID, id)
		return true
	case shedsUnnamed:
		fmt.Fprintf(c, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
		return true
	case truncates:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of the")
		return false
	case truncatesChunked:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		return false
	case closesToEnd:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\nwho knows")
		return false
	case wrongID:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: of-another\r\nContent-Length: 7\r\n\r\nanother", header.RequestID)
		return true
	case invalidStatus:
		fmt.Fprintf(c, "HTTP/1.1 000 Trouble\r\n%s: %s\r\nContent-Length: 3\r\n\r\nbad", header.RequestID, id)
		return true
	case invalidName:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding : chunked\r\nContent-Length: 13\r\n\r\n3\r\nbad\r\n0\r\n\r\n", header.RequestID, id)
		return true
	case truncatesHead:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Le", header.RequestID, id)
		return false
	case resetsBody:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nhalf of the", header.RequestID, id)
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case hangs:
		_, _ = r.ReadByte()
		f.clientClosed <- struct{}{}
		return false
	}
	limit := ""
	if f.upstreamLimit != "" {
		limit = header.RateLimit + ": " + f.upstreamLimit + "\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\nanswer to %s", header.RequestID, id, limit, len("answer to ")+len(id), id)
	return true
}

// entry is a Proxy behind an HTTP server, in front of fake upstreams.
type entry struct {
	*Proxy
	url string
}

func newEntry(t testing.TB, fakes []*fakeUpstream, edits ...tree.Edit) *entry {
	t.Helper()
	return newEntryWith(t, func(*Options) {}, fakes, edits...)
}

// newEntryWith returns an entry whose options were changed.
func newEntryWith(t testing.TB, change func(*Options), fakes []*fakeUpstream, edits ...tree.Edit) *entry {
	t.Helper()
	n := 0
	var mu sync.Mutex
	opt := Options{
		MaxInFlight: 100,
		Now:         time.Now,
		CapShares:   share.NewLimiter(),
		BootClock:   func() int64 { return time.Now().UnixNano() },
		NewID: func() string {
			mu.Lock()
			defer mu.Unlock()
			n++
			return fmt.Sprint("own-", n)
		},
		Observe: func(Outcome) {},
	}
	change(&opt)
	c := New(opt)
	in := model.Input{Region: "muscat", Revision: 1, Tree: new(tree.Tree).Apply(edits, 1)}
	in.Members = []membership.Member{{ID: "n1", State: membership.Alive, Region: "muscat", Entry: "10.0.0.1:80"}}
	for i, f := range fakes {
		in.Directory.Upstreams = append(in.Directory.Upstreams, model.Upstream{
			ID: fmt.Sprint("u", i), Service: "orders", Region: "muscat", Domain: "a", Address: f.lis.Addr().String(), Slots: 4,
		})
	}
	c.Update(model.Compile(in))
	srv := httptest.NewUnstartedServer(c)
	_, srv.Listener = pipeline.Install(srv.Config, srv.Listener)
	srv.Start()
	t.Cleanup(srv.Close)
	return &entry{c, srv.URL}
}

// result is what the caller received.
type result struct {
	status  int
	body    string
	header  http.Header
	bodyErr error
}

// send sends a request and reads the response.
func (e *entry) send(t testing.TB, method, path, body string, fields ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, e.url+path, bodyOf(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(header.Service, "orders")
	for i := 0; i < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{bodyErr: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, string(b), resp.Header, err}
}

func bodyOf(s string) io.Reader {
	if s == "" {
		return nil
	}
	// The reader is not a strings.Reader, so that the test's own client cannot repeat the
	// request.
	return io.MultiReader(newString(s))
}

type stringReader struct{ s string }

func newString(s string) *stringReader { return &stringReader{s} }

func (r *stringReader) Read(p []byte) (int, error) {
	if r.s == "" {
		return 0, io.EOF
	}
	n := copy(p, r.s)
	r.s = r.s[n:]
	return n, nil
}
