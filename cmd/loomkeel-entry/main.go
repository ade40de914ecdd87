// Command loomkeel-entry carries callers' requests to upstreams.
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
	cli.Main(cli.Daemon{Name: "loomkeel-entry", Usage: "carry requests to upstreams", Ballast: process.BallastCarrier, Run: run})
}

func run(ctx context.Context, s *settings.Settings) error {
	_, clientTLS, err := tlsconf.Peers(s.TLS)
	if err != nil {
		return eris.Wrap(err, "peer certificates")
	}
	upstreamTLS, err := tlsconf.Upstreams(s.TLS)
	if err != nil {
		return eris.Wrap(err, "upstream certificates")
	}
	serverTLS, err := tlsconf.Server(s.TLS)
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	dialer := rpc.NewDialer(clientTLS, nil)
	defer dialer.Close()
	e := entry.New(forward.Options{Self: s.Instance.ID, MaxInFlight: s.Entry.Room, MaxBody: int64(s.Entry.MaxBody), TLS: upstreamTLS, Now: time.Now})
	f := follow.New(follow.Options{
		Dialer: dialer, Agent: s.Agent.Peer, Process: agent.ProcessEntry, Region: s.Instance.Region,
		OnUpdate: e.Carrier.Update, SkipPath: tree.IsBlocks,
	})
	metrics.Publish("entry", func() any { return e.Metrics() })
	debug := chi.NewRouter()
	ready := func() bool { return e.Carrier.Snapshot() != nil && ctx.Err() == nil }
	process.Debug(debug, ready, func() any { return e.Dump(f.Status()) })
	debugServer, err := process.Listen(s.Entry.Debug, debug)
	if err != nil {
		return eris.Wrap(err, "debug address")
	}
	go debugServer.Serve()
	srv, err := process.ListenTLS(s.Entry.Listen, e.Carrier, serverTLS)
	if err != nil {
		return eris.Wrap(err, "listen address")
	}
	go srv.Serve()
	klog.InfoS("entry started", "listen", s.Entry.Listen)
	following, end := context.WithCancel(context.Background())
	defer end()
	go f.Run(following)
	go e.Report(following, f)
	<-ctx.Done()
	return e.Stop(context.Background(), srv, entry.StopOptions{
		Linger:  s.Entry.Linger,
		Timeout: s.Entry.StopTime,
		Agent:   f,
	})
}
