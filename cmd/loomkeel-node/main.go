// Command loomkeel-node is all of loomkeel that an instance of the users'
// platform runs: it answers look-ups and carries requests.
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
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/node"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/relay"
	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/view"
	"github.com/loomkeel/loomkeel/platform"
)

const (
	name = "loomkeel-node"
	// heapShare is the part of the instance's memory at which the collector works
	// as hard as it must.
	heapShare = 0.6
	// room is how many requests may be in the node at one time.
	room = 4096
	// rejoin is how long entries that lapsed while the store was away have to
	// come back; the platform says about two seconds.
	rejoin = 2200 * time.Millisecond
	// retryShare is the part of the platform's retry budget that is used, since
	// the nodes may see different requests in its window.
	retryShare = 0.7
	// reloadEvery is the time between looks for settings that changed without a
	// signal.
	reloadEvery = 5 * time.Second
	// dialTimeout bounds the wait for a connection to an upstream. The farthest
	// regions are some 0.2 s apart and back.
	dialTimeout = 700 * time.Millisecond
)

func main() {
	cmd := &urfave.Command{
		Name:    name,
		Usage:   "answer look-ups and carry requests on an instance of the platform",
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
			Usage: "read the settings, print all faults, and exit with 1 if there are any",
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

func run(ctx context.Context, path string, s *platform.Settings) error {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryBytes)))
	}
	// Until Reload listens for it, a SIGHUP must not end the process.
	signal.Ignore(syscall.SIGHUP)
	stop, cancel := process.SignalContext(ctx)
	defer cancel()
	clock := bootclock.NewClock()
	fields := new(platform.FieldCounts)
	self := node.Self(s.ID, s.Region, s.Domain, s.EntryAddress, s.PeerAddress, time.Now())
	self.LinkMbps, self.Cores = s.LinkMbps, s.Cores
	n := node.New(view.Options{
		Self:                self,
		Regions:             s.Regions,
		ReregistrationGrace: rejoin,
		Policy:              policy(s.Bounds),
	}, forward.Options{
		Self: s.ID, Domain: s.Domain, MaxInFlight: room, Now: clock.Now, SyncNow: clock.SyncNow,
		Protocol: platform.Protocol{Fields: fields}, DialTimeout: dialTimeout,
	})

	store := platform.NewStore(s.Store)
	dialer := rpc.NewDialer(nil, nil)
	feed := platform.NewFeed(platform.FeedOptions{
		Store: store, Apply: n.Apply, Self: self, Members: n.Members, Now: clock.SyncNow,
		Peers:         relay.NewClient(relay.NewCall(dialer), clock.Now),
		Seeds:         func() []relay.Source { return n.Strangers.Sources(clock.Now()) },
		MaxApplyDelay: s.Bounds.MaxApplyDelay,
	})
	registrar, err := platform.NewRegistrar(store, feed, self, s.Store.MinLeaseTTL)
	if err != nil {
		return eris.Wrap(err, "registration")
	}
	exchange, err := inflight.Listen(n.Reports(self))
	if err != nil {
		return eris.Wrapf(err, "listen on %s", s.PeerAddress)
	}
	named := func() []model.Member { return n.Named(exchange.Absent(clock.Now())) }
	metrics.Publish("store", func() any { return store.CallCounts() })
	metrics.Publish("answer_fields", func() any { return fields.Status() })
	metrics.Publish("feed", func() any { return feed.Status() })
	dump := func() any { return stateDump{n.Dump(), feed.Status()} }
	if err := listen(n, named, dump, s); err != nil {
		return err
	}
	if err := serveRelay(ctx, s.PeerAddress, feed.RelayServer()); err != nil {
		return err
	}
	klog.InfoS("node started", "id", s.ID, "entry", s.EntryAddress, "store", s.Store.Address)
	following, end := context.WithCancel(context.Background())
	defer end()
	go feed.Run(following)
	go n.Tick(following)
	go exchange.Run(following)
	go func() {
		<-feed.Ready()
		n.Synced()
	}()
	go registrar.Run(stop)
	var grace atomic.Int64
	grace.Store(int64(s.Bounds.GracePeriod))
	go process.WatchFile(following, path, s.Raw, reloadEvery, func(content []byte) {
		next, err := platform.ParseSettings(path, content)
		if err != nil {
			klog.ErrorS(err, "settings refused, those before stay in force")
			return
		}
		klog.InfoS("settings changed", "path", path)
		grace.Store(int64(next.Bounds.GracePeriod))
		n.Apply(func(v *view.View, _ time.Time) { v.SetPolicy(policy(next.Bounds)) })
	})
	<-stop.Done()
	n.Stop(time.Duration(grace.Load()))
	return nil
}

// policy returns how much of the platform's bounds the nodes use.
func policy(b platform.Bounds) view.Policy {
	return view.Policy{
		RetryRatio: retryShare * b.RetryRatio,
		RetrySlack: retryShare * b.RetrySlack,
		ColdFactor: b.ColdFactor,
		ColdSlack:  b.ColdSlack,
		LimitSlack: b.LimitSlack,
	}
}

// listen opens the addresses for requests, look-ups and readiness checks. Named returns
// the nodes that look-ups name, dump the state of the process.
func listen(n *node.Node, named func() []model.Member, dump func() any, s *platform.Settings) error {
	for _, l := range []struct {
		addr string
		open func() (*process.Server, error)
	}{
		{s.EntryAddress, func() (*process.Server, error) { return process.Listen(s.EntryAddress, n.Handler()) }},
		{s.DirectoryAddress, func() (*process.Server, error) {
			return process.Listen(s.DirectoryAddress, platform.DirectoryHandler(named, n.Homes, s.Bounds.MaxLookupTTL))
		}},
		{s.DebugAddress, func() (*process.Server, error) { return process.Listen(s.DebugAddress, debugHandler(n, dump)) }},
		{s.ReadinessAddress, func() (*process.Server, error) {
			return process.Listen(s.ReadinessAddress, platform.ReadinessHandler(n.Ready))
		}},
	} {
		srv, err := l.open()
		if err != nil {
			return eris.Wrapf(err, "listen on %s", l.addr)
		}
		go srv.Serve()
	}
	return nil
}

// serveRelay lets other nodes follow what this one has read from the store.
func serveRelay(ctx context.Context, addr string, srv *relay.Server) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", addr)
	}
	mux, err := relay.NewMux(srv)
	if err != nil {
		return eris.Wrap(err, "relay")
	}
	go func() {
		if err := rpc.Serve(ctx, lis, mux, nil); err != nil {
			klog.ErrorS(err, "relay ended", "addr", addr)
		}
	}()
	return nil
}

// stateDump is everything that the process decides by, and how old it may be.
type stateDump struct {
	node.Dump
	Feed platform.FeedStatus `json:"feed"`
}

// debugHandler serves the metrics and the dump of the process's state.
func debugHandler(n *node.Node, dump func() any) http.Handler {
	metrics.Publish("entry", func() any { return n.Entry.Metrics() })
	metrics.Publish("limits", func() any { return n.Limits() })
	metrics.Publish("upstream_limits", func() any { return n.Rates() })
	metrics.Publish("node", func() any { return n.Status() })
	r := chi.NewRouter()
	process.AddDebugRoutes(r, n.Ready, dump)
	return r
}
