// Package process holds what loomkeel's processes have in common: logging, garbage collection,
// signals, HTTP servers with limits, health checks, dumps and the reloading of files.
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
	"github.com/loomkeel/loomkeel/internal/pipeline"
)

// Version is the version of all commands.
const Version = "0.1.0"

// Revision returns the revision of the source that the program was built from, with "+changes" if the
// source was changed after it; "unknown" if the build did not record it.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return revisionOf(info.Settings)
}

// revisionOf returns the revision that the settings of a build hold.
func revisionOf(settings []debug.BuildSetting) string {
	revision, suffix := "unknown", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+changes"
		}
	}
	return revision + suffix
}

// Limits of every Server.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// MaxConns is the maximum number of open connections of a Server. Further connections wait
	// to be accepted.
	MaxConns = 16384
)

// InitLog makes klog write to standard error with the given verbosity.
func InitLog(verbosity int) {
	fs := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(fs)
	_ = fs.Set("v", strconv.Itoa(verbosity))
	_ = fs.Set("logtostderr", "true")
}

// LogToStdout makes klog write to standard output through the returned Writer, which drops lines
// instead of blocking. The caller must flush the writer before the process ends. The number of
// dropped lines is published as the expvar log_lines_dropped.
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
	// gcPercent lets the heap grow by half between collections instead of doubling, because
	// instances have little memory and the agent may use only a part of it.
	gcPercent = 50
	// The sizes of the heap ballast in bytes, by process. The ballast counts as heap but is never
	// written, so it uses no physical memory. Without it the heap is a few megabytes, and the
	// garbage collector would run every few hundred requests.
	BallastAgent    = 4 << 20
	BallastDirector = 16 << 20
	BallastEntry    = 32 << 20
)

// ballast keeps the heap ballast reachable.
var ballast []byte

// InitGC allocates a heap ballast of the given size and sets the GC percentage, unless the
// environment variable GOGC is set. The size is published as the expvar ballast_bytes.
func InitGC(ballastBytes int) {
	if os.Getenv("GOGC") == "" {
		ballast = make([]byte, ballastBytes)
		expvar.Publish("ballast_bytes", expvar.Func(func() any { return len(ballast) }))
		debug.SetGCPercent(gcPercent)
	}
}

// SignalContext returns a context that is cancelled by SIGTERM or SIGINT.
func SignalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// Server is an HTTP server on one address.
type Server struct {
	http     *http.Server
	listener net.Listener
	// pipeline is nil for a Server that serves the requests of a connection one after the other.
	pipeline *pipeline.Server
}

// Listen opens a TCP listener on an address and returns a Server that passes its requests to h.
func Listen(addr string, h http.Handler) (*Server, error) { return ListenTLS(addr, h, nil) }

// ListenTLS is Listen with TLS, or with plain TCP if conf is nil.
func ListenTLS(addr string, h http.Handler, conf *tls.Config) (*Server, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	if conf != nil {
		listener = tls.NewListener(listener, conf)
	}
	return &Server{listener: netutil.LimitListener(listener, MaxConns), http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}, nil
}

// ListenCallers is ListenTLS for callers' requests: it serves those that are pipelined on one
// connection side by side, and publishes the expvar pipeline.
func ListenCallers(addr string, h http.Handler, conf *tls.Config) (*Server, error) {
	s, err := ListenTLS(addr, h, conf)
	if err != nil {
		return nil, err
	}
	s.pipeline, s.listener = pipeline.Install(s.http, s.listener)
	metrics.Publish("pipeline", func() any { return s.pipeline.Status() })
	return s, nil
}

// Serve accepts and serves connections until Shutdown. It logs any other error of the listener.
func (s *Server) Serve() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "HTTP server failed", "addr", s.listener.Addr())
	}
}

// Shutdown stops accepting connections and waits for the requests in flight until ctx ends. It
// returns the error of ctx if requests are left.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.Drain(ctx); err != nil {
		return err
	}
	return s.http.Shutdown(ctx)
}

// BeginDrain ends the serving of pipelined requests side by side: what stands behind a request that is
// not answered yet stays unread.
func (s *Server) BeginDrain() {
	if s.pipeline != nil {
		s.pipeline.BeginDrain()
	}
}

// Drain ends the serving of pipelined requests side by side and waits until those in progress have
// been answered. It returns the error of ctx if some are left.
func (s *Server) Drain(ctx context.Context) error {
	if s.pipeline == nil {
		return nil
	}
	return s.pipeline.Drain(ctx)
}

// AddDebugRoutes adds the routes that every process serves: /healthz, /readyz, /debug/vars,
// /debug/state and the profiles under /debug/pprof. The function ready reports whether the process
// can serve, and dump returns the value that /debug/state writes as JSON.
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

// WriteJSON writes a response with the status code and v as indented JSON. Errors of encoding and
// writing are ignored.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
