// Command loomkeel-agent is the control process of an instance: it follows the configuration
// and the other instances, and serves operators.
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
	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/metrics"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/query"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/settings"
	"github.com/loomkeel/loomkeel/internal/tlsconf"
)

func main() {
	cli.Main(cli.Daemon{Name: "loomkeel-agent", Usage: "follow the configuration and the other instances", Ballast: process.BallastAgent, Run: run})
}

// run runs the agent until ctx ends.
func run(ctx context.Context, s *settings.Settings) error {
	serverTLS, clientTLS, err := tlsconf.PeerConfigs(s.TLS)
	if err != nil {
		return eris.Wrap(err, "load peer certificates")
	}
	token, err := command.LoadToken(s.Agent.TokenFile)
	if err != nil {
		return eris.Wrap(err, "load operators' token")
	}
	byteCounts := new(rpc.ByteCounts)
	dialer := rpc.NewDialer(clientTLS, byteCounts)
	defer dialer.Close()
	client := coordination.NewClient(s.Platform.Address, s.Platform.Timeout)
	a := agent.New(agent.Options{
		Self:        self(s),
		Seeds:       s.Agent.Seeds,
		Store:       client,
		List:        client,
		Peers:       rpc.NewPeerClient(dialer),
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ProbePeriod: agent.DefaultProbePeriod,
		BootID:      bootclock.BootID(),
		BootClock:   bootclock.Now,
		Membership:  membership.DefaultConfig(),
	})
	mux, err := rpc.NewMux(a)
	if err != nil {
		return eris.Wrap(err, "set up services for peers")
	}
	lis, err := net.Listen("tcp", s.Agent.PeerAddress)
	if err != nil {
		return eris.Wrap(err, "listen on peer address")
	}
	go func() {
		if err := rpc.Serve(ctx, rpc.WrapTLS(lis, serverTLS), mux, byteCounts); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "peer server stopped")
		}
	}()
	srv, err := process.Listen(s.Agent.OperatorAddress, operatorHandler(a, s, token, byteCounts))
	if err != nil {
		return eris.Wrap(err, "listen on operator address")
	}
	go srv.Serve()
	klog.InfoS("agent started", "id", s.Instance.ID, "peer", s.Agent.PeerAddress, "operator", s.Agent.OperatorAddress)
	a.Run(ctx)
	return stop(a, srv)
}

// stopTimeout limits the time in which a stopping agent announces its departure and ends the
// operators' requests in flight.
const stopTimeout = 2 * time.Second

// stop announces to the other agents that this one is leaving, and shuts srv down.
func stop(a *agent.Agent, srv *process.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	a.Leave(ctx)
	return srv.Shutdown(ctx)
}

// self returns the local instance as a member.
func self(s *settings.Settings) membership.Member {
	return membership.Member{
		ID:       s.Instance.ID,
		Region:   s.Instance.Region,
		Domain:   s.Instance.Domain,
		Agent:    s.Agent.PeerAddress,
		Entry:    s.Entry.ListenAddress,
		Director: s.Director.ListenAddress,
	}
}

// operatorHandler publishes the agent's metrics and returns the handler for operators.
func operatorHandler(a *agent.Agent, s *settings.Settings, token command.Token, byteCounts *rpc.ByteCounts) http.Handler {
	r := chi.NewRouter()
	metrics.Publish("agent", func() any { return a.Counters() })
	metrics.Publish("peer_bytes_sent", func() any { return byteCounts.Sent.Load() })
	metrics.Publish("peer_bytes_received", func() any { return byteCounts.Received.Load() })
	process.AddDebugRoutes(r, func() bool { return a.Log().Revision() > 0 }, func() any { return a.Dump() })
	r.Group(func(r chi.Router) {
		r.Use(token.Require)
		query.AddRoutes(r, a)
		query.AddDumpRoute(r, map[string]string{"director": s.Director.DebugAddress, "entry": s.Entry.DebugAddress}, func() any { return a.Dump() })
		command.AddRoutes(r, a, s.Agent.CommitTimeout)
	})
	return r
}
