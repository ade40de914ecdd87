// Command loomkeel-director answers callers' look-ups.
package main

import (
	"context"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/agent"
	"github.com/loomkeel/loomkeel/internal/cli"
	"github.com/loomkeel/loomkeel/internal/director"
	"github.com/loomkeel/loomkeel/internal/follow"
	"github.com/loomkeel/loomkeel/internal/metrics"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/settings"
	"github.com/loomkeel/loomkeel/internal/tlsconf"
)

// stopTimeout bounds the wait for look-ups in flight at a stop.
const stopTimeout = 5 * time.Second

func main() {
	cli.Main(cli.Daemon{Name: "loomkeel-director", Usage: "answer look-ups: which entry instances to use", Ballast: process.BallastLookups, Run: run})
}

// dump is everything that the process decides by.
type dump struct {
	Agent    follow.Status `json:"agent"`
	Director director.Dump `json:"director"`
}

func run(ctx context.Context, s *settings.Settings) error {
	_, clientTLS, err := tlsconf.Peers(s.TLS)
	if err != nil {
		return eris.Wrap(err, "peer certificates")
	}
	serverTLS, err := tlsconf.Server(s.TLS)
	if err != nil {
		return eris.Wrap(err, "certificate")
	}
	dialer := rpc.NewDialer(clientTLS, nil)
	defer dialer.Close()
	d := director.New(time.Now)
	f := follow.New(follow.Options{
		Dialer: dialer, Agent: s.Agent.Peer, Process: agent.ProcessDirector, Region: s.Instance.Region, OnUpdate: d.Update,
	})
	state := func() any { return dump{f.Status(), d.Dump()} }
	metrics.Publish("director", state)
	debug := chi.NewRouter()
	process.Debug(debug, d.Ready, state)
	debugServer, err := process.Listen(s.Director.Debug, debug)
	if err != nil {
		return eris.Wrap(err, "debug address")
	}
	go debugServer.Serve()
	srv, err := process.ListenTLS(s.Director.Listen, d.Handler(), serverTLS)
	if err != nil {
		return eris.Wrap(err, "listen address")
	}
	go srv.Serve()
	klog.InfoS("director started", "listen", s.Director.Listen)
	f.Run(ctx)
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return srv.Shutdown(stopCtx)
}
