// Package pipeline serves requests that callers pipeline on one connection side by side.
//
// net/http serves the requests of a connection one after the other, and it does not notice that a
// caller has left once it has read a byte of a later request. A Server puts itself between the
// accepted connections and an http.Server. A connection on which no request arrives before its time
// is passed through. On others the Server reads ahead, within a bound, and gives each complete
// request that has a safe method and no body to a lane: a net.Conn for this one request, which the
// same http.Server serves like any other connection. So net/http parses all requests and writes all
// answers, and its limits hold for them. The Server only finds where requests end, and sends the
// answers in the order of the requests.
//
// All other requests, also malformed ones, are served on the connection itself once those before
// them have been answered, and none behind them is served before they have been answered. An answer
// that closes the connection ends all requests behind it without an answer; callers may repeat them,
// because their methods are safe.
package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// maxConnLanes is the number of requests of one connection that are served at the same time
	// as its first one. Further ones wait unread.
	maxConnLanes = 8
	// maxLanes bounds the lanes of a Server. Each needs about 16 KB. Without a free lane requests
	// are served one after the other.
	maxLanes = 512
	// maxReadAhead is how many bytes are read of a connection before their time. A longer header
	// is read in its turn.
	maxReadAhead = 8 << 10
	// maxConnWaiting and maxWaiting bound the bytes of answers that wait for their turn, by
	// connection and by Server. Beyond them the handlers' writes wait.
	maxConnWaiting = 128 << 10
	maxWaiting     = 4 << 20
	// drainPollInterval is the time between checks of Drain for open lanes.
	drainPollInterval = 5 * time.Millisecond
)

// Server serves the pipelined requests of an http.Server's connections. It is safe for concurrent
// use.
type Server struct {
	http  *http.Server
	lanes *laneListener
	// serveLanes starts the serving of lanes, when there is the first one.
	serveLanes sync.Once
	draining   atomic.Bool
	open       atomic.Int64
	waiting    atomic.Int64
	takenOver  atomic.Int64
	served     atomic.Int64
	refused    atomic.Int64
	// heads is the memory of the long heads that are being read.
	heads atomic.Int64
}

// Status is the state of a Server, for metrics.
type Status struct {
	// TakenOver counts the connections on which requests arrived before the one before them was
	// answered, and SideBySide the requests that were served at the same time as another of their
	// connection. Refused counts the times that a request had to wait because too many were open.
	TakenOver  int64 `json:"connections_taken_over"`
	SideBySide int64 `json:"requests_side_by_side"`
	Refused    int64 `json:"refused_no_lane"`
	// Open is the number of such requests in progress, and WaitingBytes the size of the answers that
	// wait for their turn.
	Open         int64 `json:"open"`
	WaitingBytes int64 `json:"answer_bytes_waiting"`
	// HeadBytes is the memory of the long heads of requests that are being read.
	HeadBytes int64 `json:"head_bytes"`
}

// Install makes srv serve pipelined requests side by side. It changes the handler and the hooks of
// srv, which must not serve yet, and returns the listener that srv must serve in place of l. The
// handler also gets requests "OPTIONS *".
func Install(srv *http.Server, l net.Listener) (*Server, net.Listener) {
	s := &Server{http: srv, lanes: newLaneListener(l.Addr())}
	// The beginning of each request must be noticed.
	srv.DisableGeneralOptionsHandler = true
	handler, connContext, connState := srv.Handler, srv.ConnContext, srv.ConnState
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serve(handler, w, r) })
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, streamKey{}, c)
	}
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if st, ok := c.(stream); ok && state == http.StateIdle {
			st.answered()
		}
		if cn, ok := c.(*conn); ok {
			cn.stateChanged(state)
		}
		if connState != nil {
			connState(c, state)
		}
	}
	return s, &listener{l, s}
}

// Status returns the state of the Server.
func (s *Server) Status() Status {
	return Status{s.takenOver.Load(), s.served.Load(), s.refused.Load(), s.open.Load(), s.waiting.Load(), s.heads.Load()}
}

// BeginDrain ends the serving side by side: from now on no request is begun behind one that is not
// answered yet. A process that stops may not live to send the answers.
func (s *Server) BeginDrain() { s.draining.Store(true) }

// Drain ends the serving side by side and waits until those requests have been answered. It returns
// the error of ctx if some are left. It is called before http.Server.Shutdown, after which the first
// answer of a connection closes it.
func (s *Server) Drain(ctx context.Context) error {
	s.BeginDrain()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// reserveLane reports whether a further request may be served side by side, and counts it. It counts
// the request before it looks whether the Server drains, so that Drain waits for every lane that begins.
func (s *Server) reserveLane() bool {
	full := s.open.Add(1) > maxLanes
	draining := s.draining.Load()
	if full && !draining {
		s.refused.Add(1)
	}
	if full || draining {
		s.open.Add(-1)
		return false
	}
	return true
}

// start has the http.Server serve a lane.
func (s *Server) start(l *lane) {
	s.served.Add(1)
	s.serveLanes.Do(func() {
		go func() {
			if err := s.http.Serve(s.lanes); !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "serving pipelined requests failed")
			}
		}()
	})
	s.lanes.add(l)
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c, l.server), nil
}

// laneListener is a listener whose connections are the lanes.
type laneListener struct {
	addr   net.Addr
	added  chan *lane
	mu     sync.Mutex
	closed bool
	done   chan struct{}
}

func newLaneListener(addr net.Addr) *laneListener {
	// There is room for all lanes, so that add does not wait.
	return &laneListener{addr: addr, added: make(chan *lane, maxLanes), done: make(chan struct{})}
}

// add passes a lane to Accept. It closes the lane if the listener is closed.
func (l *laneListener) add(ln *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = ln.Close()
		return
	}
	l.added <- ln
}

// Accept implements net.Listener.
func (l *laneListener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, net.ErrClosed
	default:
	}
	select {
	case ln := <-l.added:
		return ln, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes the lanes that were not accepted.
func (l *laneListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	close(l.done)
	for {
		select {
		case ln := <-l.added:
			_ = ln.Close()
		default:
			return nil
		}
	}
}

// Addr implements net.Listener.
func (l *laneListener) Addr() net.Addr { return l.addr }
