// Command loomkeel-entry forwards callers' requests to upstreams.
package main

import (
	"context"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/agent"
	"github.com/loomkeel/loomkeel/internal/cli"
	"github.com/loomkeel/loomkeel/internal/entry"
	"github.com/loomkeel/loomkeel/internal/follow"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/metrics"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/settings"
	"github.com/loomkeel/loomkeel/internal/tlsconf"
	"github.com/loomkeel/loomkeel/internal/tree"
)

func main() {
	cli.Main(cli.Daemon{Name: "loomkeel-entry", Usage: "forward requests to upstreams", Ballast: process.BallastEntry, Run: run})
}

// run runs the entry until ctx ends, and then performs the planned stop.
func run(ctx context.Context, s *settings.Settings) error {
	_, clientTLS, err := tlsconf.PeerConfigs(s.TLS)
	if err != nil {
		return eris.Wrap(err, "load peer certificates")
	}
	upstreamTLS, err := tlsconf.UpstreamConfig(s.TLS)
	if err != nil {
		return eris.Wrap(err, "load upstream certificates")
	}
	serverTLS, err := tlsconf.ServerConfig(s.TLS)
	if err != nil {
		return eris.Wrap(err, "load server certificate")
	}
	dialer := rpc.NewDialer(clientTLS, nil)
	defer dialer.Close()
	e := entry.New(forward.Options{Self: s.Instance.ID, MaxInFlight: s.Entry.MaxInFlight, MaxBody: int64(s.Entry.MaxBody), TLS: upstreamTLS, Now: time.Now})
	f := follow.New(follow.Options{
		Dialer: dialer, Agent: s.Agent.PeerAddress, Process: agent.ProcessEntry, Region: s.Instance.Region,
		OnUpdate: e.Proxy.Update, SkipPath: tree.IsBlocksPath,
	})
	metrics.Publish("entry", func() any { return e.Metrics() })
	debug := chi.NewRouter()
	ready := func() bool { return e.Proxy.Snapshot() != nil && ctx.Err() == nil }
	process.AddDebugRoutes(debug, ready, func() any { return e.Dump(f.Status()) })
	debugServer, err := process.Listen(s.Entry.DebugAddress, debug)
	if err != nil {
		return eris.Wrap(err, "listen on debug address")
	}
	go debugServer.Serve()
	srv, err := process.ListenCallers(s.Entry.ListenAddress, e.Proxy, serverTLS)
	if err != nil {
		return eris.Wrap(err, "listen for requests")
	}
	go srv.Serve()
	klog.InfoS("entry started", "listen", s.Entry.ListenAddress)
	followCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(followCtx)
	go e.RunReports(followCtx, f)
	<-ctx.Done()
	return e.Stop(context.Background(), srv, entry.StopOptions{
		Linger:  s.Entry.Linger,
		Timeout: s.Entry.StopTimeout,
		Agent:   f,
	})
}
