// Package process holds what all of loomkeel's processes share: logging,
// signals, HTTP servers with limits, health pages and dumps.
package process

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"expvar"
	"flag"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/net/netutil"
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/logs"
	"github.com/loomkeel/loomkeel/internal/metrics"
)

// Version is the version of the programs.
const Version = "0.1.0"

// Limits of every HTTP listener.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
	// MaxConns is how many connections a listener holds at one time.
	MaxConns = 16384
)

// InitLog sets klog's verbosity.
func InitLog(verbosity int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("v", strconv.Itoa(verbosity))
	_ = fs.Set("logtostderr", "true")
}

// LogToStdout has klog write to standard output without ever waiting for its
// reader. The writer is to be flushed before the process ends.
func LogToStdout() *logs.Writer {
	w := logs.NewWriter(os.Stdout)
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("logtostderr", "false")
	_ = fs.Set("one_output", "true")
	klog.SetOutput(w)
	metrics.Publish("log_lines_dropped", func() any { return w.Dropped() })
	return w
}

const (
	// gcPercent lets the heap grow by half, not to double, between collections:
	// an instance is small, and control may take only a part of it.
	gcPercent = 50
	// Ballast counts as heap but is never touched, so it takes no memory itself.
	// With a heap of few megabytes the collector would otherwise run every few
	// hundred requests.
	BallastAgent    = 4 << 20
	BallastDirector = 16 << 20
	BallastEntry    = 32 << 20
)

var ballast []byte

// InitGC sets the collector's pace, unless GOGC does. Ballast is one of the
// sizes above.
func InitGC(bytes int) {
	if os.Getenv("GOGC") == "" {
		ballast = make([]byte, bytes)
		expvar.Publish("ballast_bytes", expvar.Func(func() any { return len(ballast) }))
		debug.SetGCPercent(gcPercent)
	}
}

// SignalContext returns a context that ends at SIGTERM or SIGINT.
func SignalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// Server is an HTTP server on one address.
type Server struct {
	http *http.Server
	lis  net.Listener
}

// Listen opens an address for a handler.
func Listen(addr string, h http.Handler) (*Server, error) { return ListenTLS(addr, h, nil) }

// ListenTLS is Listen with TLS, or without if conf is nil.
func ListenTLS(addr string, h http.Handler, conf *tls.Config) (*Server, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if conf != nil {
		lis = tls.NewListener(lis, conf)
	}
	return &Server{lis: netutil.LimitListener(lis, MaxConns), http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}}, nil
}

// Serve answers requests until Shutdown.
func (s *Server) Serve() {
	if err := s.http.Serve(s.lis); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "server ended", "addr", s.lis.Addr())
	}
}

// Shutdown stops accepting and waits for the requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// AddDebugRoutes adds the pages that every process has: /healthz, /readyz, /debug/vars,
// /debug/state and the profiles of /debug/pprof. Ready reports whether the process can do its work.
func AddDebugRoutes(r chi.Router, ready func() bool, dump func() any) {
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.Get("/debug/state", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, dump()) })
}

// WriteJSON answers with a value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
