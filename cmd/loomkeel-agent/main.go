// Command loomkeel-agent is the control process of an instance.
package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/agent"
	"github.com/loomkeel/loomkeel/internal/bootclock"
	"github.com/loomkeel/loomkeel/internal/cli"
	"github.com/loomkeel/loomkeel/internal/command"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/metrics"
	"github.com/loomkeel/loomkeel/internal/platform"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/query"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/settings"
	"github.com/loomkeel/loomkeel/internal/tlsconf"
)

func main() {
	cli.Main(cli.Daemon{Name: "loomkeel-agent", Usage: "follow the configuration and the other instances", Ballast: process.BallastControl, Run: run})
}

func run(ctx context.Context, s *settings.Settings) error {
	serverTLS, clientTLS, err := tlsconf.Peers(s.TLS)
	if err != nil {
		return eris.Wrap(err, "peer certificates")
	}
	token, err := command.LoadToken(s.Agent.Token)
	if err != nil {
		return eris.Wrap(err, "operators' token")
	}
	traffic := new(rpc.Traffic)
	dialer := rpc.NewDialer(clientTLS, traffic)
	defer dialer.Close()
	client := platform.NewClient(s.Platform.Address, s.Platform.Timeout)
	a := agent.New(agent.Options{
		Self:        self(s),
		Seeds:       s.Agent.Seeds,
		Store:       client,
		List:        client,
		Peers:       rpc.NewPeers(dialer),
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ProbePeriod: agent.DefaultProbePeriod,
		BootID:      bootclock.BootID(),
		BootClock:   bootclock.Now,
		Membership:  membership.DefaultConfig(),
	})
	mux, err := rpc.NewMux(a)
	if err != nil {
		return eris.Wrap(err, "services")
	}
	lis, err := net.Listen("tcp", s.Agent.Peer)
	if err != nil {
		return eris.Wrap(err, "peer address")
	}
	go func() {
		if err := rpc.Serve(ctx, rpc.WrapTLS(lis, serverTLS), mux, traffic); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "peer server ended")
		}
	}()
	srv, err := process.Listen(s.Agent.Operator, operator(a, s, token, traffic))
	if err != nil {
		return eris.Wrap(err, "operator address")
	}
	go srv.Serve()
	klog.InfoS("agent started", "id", s.Instance.ID, "peer", s.Agent.Peer, "operator", s.Agent.Operator)
	a.Run(ctx)
	return stop(a, srv)
}

// stopTimeout bounds the farewell of a stopping agent.
const stopTimeout = 2 * time.Second

func stop(a *agent.Agent, srv *process.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	a.Leave(ctx)
	return srv.Shutdown(ctx)
}

func self(s *settings.Settings) membership.Member {
	return membership.Member{
		ID:       s.Instance.ID,
		Region:   s.Instance.Region,
		Domain:   s.Instance.Domain,
		Agent:    s.Agent.Peer,
		Entry:    s.Entry.Listen,
		Director: s.Director.Listen,
	}
}

// operator returns the interface to operators.
func operator(a *agent.Agent, s *settings.Settings, token command.Token, traffic *rpc.Traffic) http.Handler {
	r := chi.NewRouter()
	metrics.Publish("agent", func() any { return a.Counters() })
	metrics.Publish("peer_bytes_sent", func() any { return traffic.Sent.Load() })
	metrics.Publish("peer_bytes_received", func() any { return traffic.Received.Load() })
	process.Debug(r, func() bool { return a.Log().Revision() > 0 }, func() any { return a.Dump() })
	r.Group(func(r chi.Router) {
		r.Use(token.Require)
		query.Routes(r, a)
		query.DumpRoutes(r, map[string]string{"director": s.Director.Debug, "entry": s.Entry.Debug}, func() any { return a.Dump() })
		command.Routes(r, a, s.Agent.Commit)
	})
	return r
}
