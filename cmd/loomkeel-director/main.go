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

// stopTimeout limits the wait for look-ups in flight when the process stops.
const stopTimeout = 5 * time.Second

func main() {
	cli.Main(cli.Daemon{Name: "loomkeel-director", Usage: "answer look-ups: which entry instances to use", Ballast: process.BallastDirector, Run: run})
}

// dump is the state on which the process's answers depend, for debugging.
type dump struct {
	Agent    follow.Status `json:"agent"`
	Director director.Dump `json:"director"`
}

// run runs the director until ctx ends.
func run(ctx context.Context, s *settings.Settings) error {
	_, clientTLS, err := tlsconf.PeerConfigs(s.TLS)
	if err != nil {
		return eris.Wrap(err, "load peer certificates")
	}
	serverTLS, err := tlsconf.ServerConfig(s.TLS)
	if err != nil {
		return eris.Wrap(err, "load server certificate")
	}
	dialer := rpc.NewDialer(clientTLS, nil)
	defer dialer.Close()
	d := director.New(time.Now)
	f := follow.New(follow.Options{
		Dialer: dialer, Agent: s.Agent.PeerAddress, Process: agent.ProcessDirector, Region: s.Instance.Region, OnUpdate: d.Update,
	})
	state := func() any { return dump{f.Status(), d.Dump()} }
	metrics.Publish("director", state)
	debug := chi.NewRouter()
	process.AddDebugRoutes(debug, d.Ready, state)
	debugServer, err := process.Listen(s.Director.DebugAddress, debug)
	if err != nil {
		return eris.Wrap(err, "listen on debug address")
	}
	go debugServer.Serve()
	srv, err := process.ListenTLS(s.Director.ListenAddress, d.Handler(), serverTLS)
	if err != nil {
		return eris.Wrap(err, "listen for look-ups")
	}
	go srv.Serve()
	klog.InfoS("director started", "listen", s.Director.ListenAddress)
	f.Run(ctx)
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return srv.Shutdown(stopCtx)
}
