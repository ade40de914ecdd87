package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// scriptedUpstream is an upstream that handles each connection with a function.
type scriptedUpstream struct {
	lis net.Listener
	// conns receives the number of each accepted connection.
	conns chan int
}

// newScriptedUpstream calls play for each connection, with the connection's number from 0.
func newScriptedUpstream(t *testing.T, play func(n int, c net.Conn, r *bufio.Reader)) *scriptedUpstream {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	s := &scriptedUpstream{lis: lis, conns: make(chan int, 16)}
	go func() {
		for n := 0; ; n++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			s.conns <- n
			go func() {
				defer c.Close()
				play(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// idHeader identifies requests and responses in these tests.
const idHeader = "Test-Id"

func newTestPool() *Pool {
	return NewPool(PoolOptions{Now: time.Now, Matches: func(resp *http.Response, req *http.Request) bool {
		return resp.Header.Get(idHeader) == req.Header.Get(idHeader)
	}})
}

// send sends one request and returns the body of the response.
func (s *scriptedUpstream) send(t *testing.T, p *Pool, id, target string, body io.Reader, length int64) (string, error) {
	t.Helper()
	req := &http.Request{
		Method: http.MethodPost, Host: "x", Header: http.Header{idHeader: {id}}, ContentLength: length,
		URL: &url.URL{Scheme: "http", Host: s.lis.Addr().String(), Opaque: target},
	}
	if body != nil {
		req.Body = io.NopCloser(body)
	}
	resp, err := p.RoundTrip(req.WithContext(t.Context()))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func answerTo(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(id), id)
}

// readRequest reads one request and returns its ID.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get(idHeader), err
}

// TestStaleResponseIsDiscarded sends a second response to the first request before the response
// to the second.
func TestStaleResponseIsDiscarded(t *testing.T) {
	s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		first, err := readRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, answerTo(first))
		second, err := readRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, answerTo(first)+answerTo(second))
		_, _ = r.ReadByte()
	})
	p := newTestPool()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := s.send(t, p, id, "/", nil, 0); got != id || err != nil {
			t.Errorf("request %s got %q, %v", id, got, err)
		}
	}
	if n := len(s.conns); n != 2 {
		t.Errorf("%d connections, want 2: a connection with a stale response must not be reused", n)
	}
}

// newIdentifyingPool returns a pool for upstreams that name the request in most of their answers.
func newIdentifyingPool() *Pool {
	return NewPool(PoolOptions{
		Now: time.Now,
		Matches: func(resp *http.Response, req *http.Request) bool {
			echo := resp.Header.Get(idHeader)
			return echo == "" || echo == req.Header.Get(idHeader)
		},
		SentID:     func(req *http.Request) string { return req.Header.Get(idHeader) },
		Identified: func(resp *http.Response) bool { return resp.Header.Get(idHeader) != "" },
	})
}

// TestRefusalIsBelievedOnceOnAConnection guards against requests that run twice because a copy of a
// refusal is taken for the answer to a later send of the same request, by whichever way that comes to
// the connection: a retry, or a caller that repeats a request under its ID. The upstream refuses
// request a, and sends copies of that before, with or after its next answers on the connection.
func TestRefusalIsBelievedOnceOnAConnection(t *testing.T) {
	refusal := func(status, id string) string {
		return "HTTP/1.1 " + status + "\r\n" + idHeader + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	for _, status := range []string{"429 Too Many Requests", "503 Service Unavailable", "421 Misdirected Request"} {
		for name, tt := range map[string]struct {
			// first follows the refusal, later precedes each answer on the connection after it.
			first, later string
			// between are the requests between the two sends of request a.
			between []string
		}{
			"no copy":                     {"", "", nil},
			"at once":                     {refusal(status, "a"), "", nil},
			"before the next answer":      {"", refusal(status, "a"), nil},
			"twice":                       {refusal(status, "a"), refusal(status, "a"), nil},
			"after an interim answer":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n" + refusal(status, "a"), nil},
			"behind other requests":       {"", refusal(status, "a"), []string{"b", "c"}},
			"behind another refused one":  {"", refusal(status, "a"), []string{"refused-b", "c"}},
			"half a head, then a refusal": {"", "HTTP/1.1 429 Too Ma", []string{"b"}},
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				var refused sync.Map
				s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
					later := ""
					for {
						id, err := readRequest(r)
						if err != nil {
							return
						}
						_, again := refused.LoadOrStore(id, true)
						if !again && (id == "a" || strings.HasPrefix(id, "refused")) {
							io.WriteString(c, later+refusal(status, id)+tt.first)
							later = tt.later
							continue
						}
						io.WriteString(c, later+answerTo(id))
					}
				})
				p := newIdentifyingPool()
				for i, id := range slices.Concat([]string{"a"}, tt.between, []string{"a"}) {
					want := id
					if i == 0 || strings.HasPrefix(id, "refused") {
						want = ""
					}
					got, err := s.send(t, p, id, "/", nil, 0)
					if broken := err != nil && id == "b"; got != want && !broken {
						t.Errorf("send %d of request %s got %q, %v", i, id, got, err)
					}
				}
			})
		}
	}
}

// TestConnectionWithManyFailuresIsClosed has an upstream answer every request with an error: the number
// of requests that a connection remembers is bounded.
func TestConnectionWithManyFailuresIsClosed(t *testing.T) {
	s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\n"+idHeader+": "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newIdentifyingPool()
	for i := range maxFailed + 1 {
		if _, err := s.send(t, p, fmt.Sprint(i), "/", nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(s.conns); n != 2 {
		t.Errorf("%d connections for %d failed requests, want 2", n, maxFailed+1)
	}
}

// TestUnidentifiedRefusalIsNotTakenForAnotherAnswer makes an upstream refuse a request without naming
// it, and refuse it a second time before it answers the next request on the connection.
func TestUnidentifiedRefusalIsNotTakenForAnotherAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	s := newScriptedUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		refused := n > 0
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			if !refused {
				refused = true
				io.WriteString(c, refusal)
				continue
			}
			if n == 0 {
				io.WriteString(c, refusal)
			}
			io.WriteString(c, answerTo(id))
		}
	})
	p := newIdentifyingPool()
	if got, err := s.send(t, p, "a", "/", nil, 0); got != "" || err != nil {
		t.Errorf("the refused request got %q, %v", got, err)
	}
	for _, id := range []string{"b", "c"} {
		if got, err := s.send(t, p, id, "/", nil, 0); got != id || err != nil {
			t.Errorf("request %s got %q, %v", id, got, err)
		}
	}
}

// TestLateRefusalIsNotTakenForTheNextAttempt makes an upstream shed a request, and shed it a second
// time on the same connection when the request is sent again. The request must run once.
func TestLateRefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	const refusal = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
	var requests, runs atomic.Int32
	s := newScriptedUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := readRequest(r); err != nil {
				return
			}
			if requests.Add(1) == 1 {
				io.WriteString(c, refusal)
				continue
			}
			runs.Add(1)
			if n == 0 {
				io.WriteString(c, refusal)
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	e := newEntry(t, []*fakeUpstream{{lis: s.lis}, {lis: s.lis}, {lis: s.lis}})
	if got := e.send(t, http.MethodPost, "/order", "x"); got.status != http.StatusOK || runs.Load() != 1 {
		t.Errorf("status %d, the request ran %d times", got.status, runs.Load())
	}
}

// TestUnexpectedDataClosesConnection makes an upstream send more data after a complete
// response.
func TestUnexpectedDataClosesConnection(t *testing.T) {
	s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			io.WriteString(c, answerTo(id)+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		}
	})
	p := newTestPool()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := s.send(t, p, id, "/", nil, 0); got != id || err != nil {
			t.Errorf("request %s got %q, %v", id, got, err)
		}
	}
}

// TestEarlyResponseClosesConnection responds before a long body was read. The rest of the body
// must not be read as the next request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	s := newScriptedUpstream(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(idHeader)
		if n == 0 {
			io.WriteString(c, answerTo(id))
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if n > 0 {
			io.WriteString(c, answerTo(id))
		}
		_, _ = r.ReadByte()
	})
	p := newTestPool()
	held, release := io.Pipe()
	defer release.Close()
	if got, err := s.send(t, p, "a", "/", held, 1<<20); got != "a" || err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
	long := strings.Repeat("x", 100_000)
	if got, err := s.send(t, p, "b", "/", strings.NewReader(long), int64(len(long))); got != "b" || err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
	if n := len(s.conns); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestTargetIsUnchanged(t *testing.T) {
	targets := make(chan string, 1)
	s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		targets <- strings.Fields(line)[1]
	})
	const target = "/a%2Fb//c;d/../?q=%zz&r=a+b"
	_, _ = s.send(t, newTestPool(), "a", target, nil, 0)
	if got := <-targets; got != target {
		t.Errorf("target %q", got)
	}
}

func TestParseKeepAlive(t *testing.T) {
	for _, tt := range []struct {
		field string
		want  time.Duration
		ok    bool
	}{
		{"timeout=10", 9 * time.Second, true},
		{"max=5, timeout=3", 2 * time.Second, true},
		{"timeout=0", 0, true},
		{"timeout=soon", 0, false},
		{"timeout=-4", 0, false},
		{"", 0, false},
	} {
		if got, ok := parseKeepAlive(tt.field); got != tt.want || ok != tt.ok {
			t.Errorf("%q: %v, %v", tt.field, got, ok)
		}
	}
}

// TestUploadShedEarlyIsRetried makes an upstream shed an upload before it has read the body,
// while the caller is still sending. The next upstream must get the whole body.
func TestUploadShedEarlyIsRetried(t *testing.T) {
	const size = 100_000
	got := make(chan int64, 4)
	shedSent := make(chan struct{})
	var requests atomic.Int32
	s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			shed := requests.Add(1) == 1
			if shed {
				fmt.Fprint(c, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
				close(shedSent)
			}
			length, err := io.Copy(io.Discard, req.Body)
			if err != nil {
				return
			}
			if !shed {
				got <- length
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}
	})
	// Two upstreams share one address, so that whichever is picked first sheds the request.
	e := newEntry(t, []*fakeUpstream{{lis: s.lis}, {lis: s.lis}})
	body, sender := io.Pipe()
	go func() {
		half := strings.Repeat("x", size/2)
		io.WriteString(sender, half)
		<-shedSent
		io.WriteString(sender, half)
		sender.Close()
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.url+"/photo", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Loomkeel-Service", "orders")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
		return
	}
	if n := <-got; n != size {
		t.Errorf("%d of %d bytes arrived", n, size)
	}
}

// TestCloseIdle closes the idle connections to an upstream that has restarted, because a
// non-idempotent request must not be sent on a connection to the previous process.
func TestCloseIdle(t *testing.T) {
	s := newScriptedUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get(idHeader))
		}
	})
	p := newTestPool()
	for _, tt := range []struct {
		id          string
		connections int
	}{{"a", 1}, {"b", 1}, {"after the restart", 2}} {
		if tt.connections == 2 {
			p.CloseIdle(s.lis.Addr().String())
		}
		if _, err := s.send(t, p, tt.id, "/x", nil, 0); err != nil {
			t.Fatal(err)
		}
		if n := len(s.conns); n != tt.connections {
			t.Errorf("request %s: %d connections so far, want %d", tt.id, n, tt.connections)
		}
	}
}

// TestNewConnectionsDoNotPileUp guards against an upstream that refuses connections beyond a number,
// while orders go on new ones.
func TestNewConnectionsDoNotPileUp(t *testing.T) {
	f := newFakeUpstream(t)
	open := atomic.Int64{}
	p := NewPool(PoolOptions{Now: time.Now, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		open.Add(1)
		return countedConn{c, &open}, err
	}})
	defer p.CloseAllIdle()
	for range 20 {
		req, err := http.NewRequestWithContext(withNewConnection(t.Context()), http.MethodPost, "http://"+f.lis.Addr().String()+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := p.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		discard(resp)
	}
	if n := open.Load(); n > 1 {
		t.Errorf("%d connections are open after 20 requests in turn", n)
	}
}

// countedConn takes itself off the number of open connections when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
}

// Close implements net.Conn.
func (c countedConn) Close() error {
	c.open.Add(-1)
	return c.Conn.Close()
}
