package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

const (
	// probeInterval is the time between probes during isolation and while it is suspected, and
	// slowProbeInterval that while attempts fail for longer without an answer.
	probeInterval     = 200 * time.Millisecond
	slowProbeInterval = time.Second
	// probesAtOnce is the number of upstreams that are probed together. All of them in one failure
	// domain are no evidence.
	probesAtOnce = 3
	// probeTimeout limits a probe.
	probeTimeout = 700 * time.Millisecond
	// probeDelay is how long attempts must fail without an answer before upstreams are probed. With
	// some requests per second the next answer usually comes earlier.
	probeDelay = 100 * time.Millisecond
)

// probeTarget is an upstream to probe, with the path and the headers of the probe.
type probeTarget struct {
	upstream model.Upstream
	path     string
	header   http.Header
}

// probeUpstreams sends health checks to a few upstreams, which tell sooner than callers' requests
// whether this entry reaches any. Where a service has none, requests that no upstream runs take their
// place. Callers' requests are not used, since one that is not idempotent
// would be lost.
func (p *Proxy) probeUpstreams(ctx context.Context) {
	for _, target := range p.probeTargets() {
		go p.probe(ctx, target)
	}
}

// probeTargets returns up to probesAtOnce upstreams of different services and failure domains,
// chosen at random, where there are enough.
func (p *Proxy) probeTargets() []probeTarget {
	snap := p.snap.Load()
	if snap == nil {
		return nil
	}
	var services []*model.Service
	for _, svc := range snap.Services {
		if path, _ := p.probeOf(svc); path != "" && len(svc.Upstreams) > 0 {
			services = append(services, svc)
		}
	}
	if len(services) == 0 {
		return nil
	}
	rand.Shuffle(len(services), func(i, j int) { services[i], services[j] = services[j], services[i] })
	var out []probeTarget
	domains := make(map[string]bool)
	for tries := 0; len(out) < probesAtOnce && tries < 3*probesAtOnce; tries++ {
		svc := services[tries%len(services)]
		u := svc.Upstreams[rand.IntN(len(svc.Upstreams))]
		if p.serviceState(svc.Name).balancer.BackingOff(p.now(), u.ID) {
			continue
		}
		if domains[u.Domain] && tries < 2*probesAtOnce {
			continue
		}
		domains[u.Domain] = true
		path, header := p.probeOf(svc)
		out = append(out, probeTarget{u, path, header})
	}
	return out
}

// probeOf returns the path and the headers of a probe of a service's upstreams. The path is empty if
// they can not be probed.
func (p *Proxy) probeOf(svc *model.Service) (path string, header http.Header) {
	header = http.Header{"User-Agent": {""}}
	if svc.HealthPath == "" && p.opt.Protocol.SetProbeHeaders(header, p.opt.Self) {
		return "/", header
	}
	return svc.HealthPath, header
}

// probe sends a probe on a new connection and records whether there is an answer.
func (p *Proxy) probe(ctx context.Context, target probeTarget) {
	ctx, cancel := context.WithTimeout(withNewConnection(ctx), probeTimeout)
	defer cancel()
	sent := p.now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.scheme+"://"+target.upstream.Address+target.path, nil)
	if err != nil {
		return
	}
	req.Header = target.header
	var writes writeTracker
	resp, err := p.transport.RoundTrip(req.WithContext(writes.withTrace(ctx)))
	switch {
	case err == nil:
		_, _ = io.CopyN(io.Discard, resp.Body, maxBufferedResponse)
		resp.Body.Close()
		p.recordReach(&target.upstream, sent, true, nil)
	case ctx.Err() != nil && !writes.nothingWritten():
		// The upstream accepted the connection. It may be slow, or the link silent.
		p.recordSilence(&target.upstream, sent)
	default:
		p.recordReach(&target.upstream, sent, true, verdict.New(verdict.NotRun, reasonUnreachable, err))
	}
}
