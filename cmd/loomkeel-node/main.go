// Command loomkeel-node is the only process of loomkeel on an instance of the users'
// platform: it answers look-ups and forwards requests.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	urfave "github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/bootclock"
	"github.com/loomkeel/loomkeel/internal/cli"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/inflight"
	"github.com/loomkeel/loomkeel/internal/metrics"
	"github.com/loomkeel/loomkeel/internal/node"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/relay"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/view"
	"github.com/loomkeel/loomkeel/platform"
)

const (
	name = "loomkeel-node"
	// memoryLimitShare is the share of the instance's memory that is set as Go's memory
	// limit. Near the limit the garbage collector runs as often as needed to stay below it.
	memoryLimitShare = 0.6
	// bodyMemoryShare is the part of the instance's memory, as a divisor, that the bodies of all
	// requests together may use.
	bodyMemoryShare = 12
	// maxInFlight is the largest number of requests that the node handles at one time.
	maxInFlight = 4096
	// reregistrationGrace is how long records that lapsed during an outage of the store are
	// retained after it, so that their owners can write them again. The platform specifies
	// about two seconds.
	reregistrationGrace = 2200 * time.Millisecond
	// retryBudgetShare is the share of the platform's retry budget that is used. The rest is
	// a margin, because the nodes may see different requests in the budget's window.
	retryBudgetShare = 0.7
	// reloadInterval is the time between checks for settings that were changed without a
	// signal.
	reloadInterval = 5 * time.Second
	// dialTimeout limits the wait for a connection to an upstream. The round-trip time
	// between the regions farthest apart is about 0.2 s.
	dialTimeout = 700 * time.Millisecond
)

func main() {
	cmd := &urfave.Command{
		Name:    name,
		Usage:   "answer look-ups and forward requests on an instance of the platform",
		Version: process.Version,
		Action: func(ctx context.Context, _ *urfave.Command) error {
			s, err := platform.LoadSettings(platform.SettingsPath())
			if err != nil {
				return err
			}
			log := process.LogToStdout()
			defer log.Flush()
			return run(ctx, platform.SettingsPath(), s)
		},
		Commands: []*urfave.Command{{
			Name:  "check",
			Usage: "read the settings, print all errors, and exit with status 1 if there are any",
			Action: func(context.Context, *urfave.Command) error {
				if _, err := platform.LoadSettings(platform.SettingsPath()); err != nil {
					return err
				}
				fmt.Println("settings are valid")
				return nil
			},
		}},
	}
	cli.Exit(name, cmd.Run(context.Background(), os.Args))
}

// run runs the node with the settings s, read from path, until a signal to stop, and then
// performs the planned stop.
func run(ctx context.Context, path string, s *platform.Settings) error {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	// By default a SIGHUP would end the process before process.WatchFile handles it.
	signal.Ignore(syscall.SIGHUP)
	stopCtx, cancel := process.SignalContext(ctx)
	defer cancel()
	clock := bootclock.NewClock()
	fields := new(platform.FieldCounts)
	self := node.Self(s.ID, s.Region, s.Domain, s.EntryAddress, s.PeerAddress, time.Now())
	self.LinkMbps, self.Cores = s.LinkMbps, s.Cores
	n := node.New(view.Options{
		Self:                self,
		Regions:             s.Regions,
		ReregistrationGrace: reregistrationGrace,
		Policy:              policy(s.Bounds),
	}, forward.Options{
		Self: s.ID, Domain: s.Domain, MaxInFlight: maxInFlight, MaxBuffered: s.MemoryBytes / bodyMemoryShare, Now: clock.Now, SyncNow: clock.SyncNow,
		Protocol: platform.Protocol{Fields: fields}, DialTimeout: dialTimeout,
	})

	store := platform.NewStore(s.Store)
	dialer := rpc.NewDialer(nil, nil)
	feed := platform.NewFeed(platform.FeedOptions{
		Store: store, Apply: n.Apply, Self: self, Members: n.Members, Now: clock.SyncNow,
		Peers:         relay.NewClient(relay.NewCall(dialer), clock.Now),
		Seeds:         func() []relay.Source { return n.UnknownSenders.Sources(clock.Now()) },
		MaxApplyDelay: s.Bounds.MaxApplyDelay,
	})
	registrar, err := platform.NewRegistrar(platform.RegistrarOptions{
		Store: store, Feed: feed, Self: self, MinLeaseTTL: s.Store.MinLeaseTTL, PeerRenewal: relay.NewRenewCall(dialer),
	})
	if err != nil {
		return eris.Wrap(err, "set up registration")
	}
	n.SetRegistration(registrar.Registration)
	exchange, err := inflight.Listen(n.ReportOptions(self))
	if err != nil {
		return eris.Wrapf(err, "listen on %s for reports", s.PeerAddress)
	}
	rollouts := platform.NewRolloutManager(store, n, exchange.Collector, s.Bounds.CanaryShare, clock.Now)
	n.SetAbsent(exchange.Absent)
	n.SetCountedByMost(exchange.CountedByMost)
	metrics.Publish("store", func() any { return store.CallCounts() })
	metrics.Publish("answer_fields", func() any { return fields.Status() })
	metrics.Publish("feed", func() any { return feed.Status() })
	metrics.Publish("registration", func() any { return registrar.Status() })
	dump := func() any { return stateDump{n.Dump(), feed.Status()} }
	callers, err := listen(n, dump, s)
	if err != nil {
		return err
	}
	if err := serveRelay(ctx, s.PeerAddress, feed.RelayServer()); err != nil {
		return err
	}
	klog.InfoS("node started", "version", process.Version, "revision", process.Revision(), "id", s.ID, "entry", s.EntryAddress, "store", s.Store.Address)
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	go feed.Run(runCtx)
	go n.RunExpiry(runCtx)
	go exchange.Run(runCtx)
	go n.Entry.Proxy.RunReachChecks(runCtx)
	go rollouts.Run(runCtx)
	go func() {
		<-feed.Ready()
		n.MarkSynced()
	}()
	go registrar.Run(stopCtx)
	var grace atomic.Int64
	grace.Store(int64(s.Bounds.GracePeriod))
	go process.WatchFile(runCtx, path, s.Raw, reloadInterval, func(content []byte) {
		next, err := platform.ParseSettings(path, content)
		if err != nil {
			klog.ErrorS(err, "new settings rejected, previous settings stay in force")
			return
		}
		klog.InfoS("settings changed", "path", path)
		grace.Store(int64(next.Bounds.GracePeriod))
		n.Apply(func(v *view.View, _ time.Time) { v.SetPolicy(policy(next.Bounds)) })
	})
	<-stopCtx.Done()
	n.Stop(time.Duration(grace.Load()), callers)
	return nil
}

// policy returns the limits that the nodes apply, within the platform's bounds.
func policy(b platform.Bounds) view.Policy {
	return view.Policy{
		RetryRatio: retryBudgetShare * b.RetryRatio,
		RetrySlack: retryBudgetShare * b.RetrySlack,
		ColdFactor: b.ColdFactor,
		ColdSlack:  b.ColdSlack,
		LimitSlack: b.LimitSlack,
	}
}

// listen starts the servers for requests, look-ups, debugging and readiness checks, and returns the
// first. dump returns the state of the process.
func listen(n *node.Node, dump func() any, s *platform.Settings) (callers *process.Server, err error) {
	callers, err = process.ListenCallers(s.EntryAddress, n.Handler(), nil)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", s.EntryAddress)
	}
	go callers.Serve()
	for _, l := range []struct {
		addr    string
		handler http.Handler
	}{
		{s.DirectoryAddress, platform.DirectoryHandler(n.LookupMembers, n.ServingRegions, s.Bounds.MaxLookupTTL)},
		{s.DebugAddress, debugHandler(n, dump)},
		{s.ReadinessAddress, platform.ReadinessHandler(n.Ready)},
	} {
		srv, err := process.Listen(l.addr, l.handler)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", l.addr)
		}
		go srv.Serve()
	}
	return callers, nil
}

// serveRelay starts the server through which other nodes follow the data that this node has
// read from the store. The server stops when ctx ends.
func serveRelay(ctx context.Context, addr string, srv *relay.Server) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s for relay", addr)
	}
	mux, err := relay.NewMux(srv)
	if err != nil {
		return eris.Wrap(err, "set up relay services")
	}
	go func() {
		if err := rpc.Serve(ctx, lis, mux, nil); err != nil {
			klog.ErrorS(err, "relay server stopped", "addr", addr)
		}
	}()
	return nil
}

// stateDump is the state on which the process's decisions depend, with the status of the feed
// that updates it, which includes the age of the data.
type stateDump struct {
	node.Dump
	Feed platform.FeedStatus `json:"feed"`
}

// debugHandler publishes the node's metrics and returns the handler that serves the metrics
// and the state of the process.
func debugHandler(n *node.Node, dump func() any) http.Handler {
	metrics.Publish("entry", func() any { return n.Entry.Metrics() })
	metrics.Publish("buffers", func() any { return n.Entry.Proxy.BufferStatus() })
	metrics.Publish("limits", func() any { return n.OrganisationLimits() })
	metrics.Publish("upstream_announcements", func() any { return n.Entry.Proxy.AnnouncementCounts() })
	metrics.Publish("refusing_answers", func() any { return n.Entry.Proxy.RefusalCounts() })
	metrics.Publish("region_shares", func() any { return n.Entry.Proxy.RegionShares() })
	metrics.Publish("second_sends", func() any { return n.Entry.Proxy.HedgeCounts() })
	metrics.Publish("upstream_limits", func() any { return n.UpstreamLimits() })
	metrics.Publish("node", func() any { return n.Status() })
	r := chi.NewRouter()
	process.AddDebugRoutes(r, n.Ready, dump)
	return r
}
