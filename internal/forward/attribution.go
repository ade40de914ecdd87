package forward

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"
)

const (
	// unnamedMemory is how long an upstream counts as one that refuses requests without naming them.
	unnamedMemory = time.Minute
	// unnamedRefresh is how long after a refusal another one does not extend that, so that a flood of
	// refusals does not search the addresses each time.
	unnamedRefresh = time.Second
)

// unnamedRefusals holds the addresses of upstreams that refused requests without naming them. It is safe
// for concurrent use.
type unnamedRefusals struct {
	mu    sync.RWMutex
	until map[string]time.Time
}

func newUnnamedRefusals() *unnamedRefusals {
	return &unnamedRefusals{until: make(map[string]time.Time)}
}

// add records that an upstream refused a request without naming it.
func (u *unnamedRefusals) add(address string, now time.Time) {
	if u.has(address, now.Add(unnamedMemory-unnamedRefresh)) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	u.until[address] = now.Add(unnamedMemory)
}

// has reports whether an upstream refuses requests without naming them.
func (u *unnamedRefusals) has(address string, now time.Time) bool {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return now.Before(u.until[address])
}

// withNewConnectionIfUnnamed returns the context for an attempt. An upstream that refuses requests without
// naming them gets one that may run only once on a new connection: there a refusal can belong to no other
// request.
func (p *Proxy) withNewConnectionIfUnnamed(ctx context.Context, cl *call, address string) context.Context {
	if cl.Idempotent || !p.unnamed.has(address, p.now()) {
		return ctx
	}
	return withNewConnection(ctx)
}

// attribute returns what an upstream's response says. A response that may belong to an earlier request
// on the same connection says nothing about this one. A refusal is handled as one all the same if the request
// may be repeated, so that it is retried as after any refusal, but it is marked as uncertain.
func (p *Proxy) attribute(cl *call, address string, writes *writeTracker, resp *http.Response) ResponseInfo {
	info := p.opt.Protocol.ParseResponse(resp, &cl.RequestInfo, cl.service)
	refuses := info.NotRunReason != ""
	if info.InvalidReason == ReasonMismatch || info.Identified && !refuses {
		return info
	}
	first := writes.firstOnConnection()
	if refuses {
		p.refusals.count(info.Identified, first)
	}
	if info.Identified {
		return info
	}
	if refuses {
		p.unnamed.add(address, p.now())
	}
	switch {
	case first:
	case refuses && cl.Idempotent:
		info.Uncertain = true
	case refuses, !p.opt.Protocol.Identified(resp):
		info.NotRunReason, info.InvalidReason = "", ReasonUnattributed
	}
	return info
}
