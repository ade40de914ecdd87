package forward

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// announcementLogsPerSecond and announcementLogBurst bound the log lines about announcements of
// upstreams, for each kind.
const (
	announcementLogsPerSecond = 5
	announcementLogBurst      = 40
)

// observe passes what a response says about its upstream to the balancer, and logs what is new. It
// is called once the header has been read, whatever becomes of the response.
func (p *Proxy) observe(balancer *balance.Balancer, cl *call, from balance.Choice, a balance.Announcement) balance.Observation {
	now := p.now()
	o := balancer.Observe(now, from, a)
	switch {
	case o.DrainStarted:
		p.logAnnouncement(now, cl, from, "upstream drains", "", nil)
	case o.BackoffStarted:
		p.logAnnouncement(now, cl, from, "upstream asked for a backoff", "backoff", a.Backoff)
	case o.LimitChanged && a.Limit.PerSecond == ratelimit.Unlimited:
		p.logAnnouncement(now, cl, from, "upstream removed its rate limit", "", nil)
	case o.LimitChanged:
		p.logAnnouncement(now, cl, from, "upstream set a rate limit", "per_s", a.Limit.PerSecond)
	}
	return o
}

// logAnnouncement logs an announcement with its value, unless key is empty.
func (p *Proxy) logAnnouncement(now time.Time, cl *call, from balance.Choice, message, key string, value any) {
	left, ok := p.announcementLog.Allow(now, message)
	if !ok {
		return
	}
	fields := []any{"service", cl.service.Name, "upstream", from.ID, "request", cl.ID, "left_out", left}
	if key != "" {
		fields = append(fields, key, value)
	}
	klog.InfoS(message, fields...)
}

// AnnouncementCounts returns the counts of the announcements of upstreams by service.
func (p *Proxy) AnnouncementCounts() map[string]balance.AnnouncementCounts {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[string]balance.AnnouncementCounts, len(p.services))
	for name, state := range p.services {
		out[name] = state.balancer.AnnouncementCounts()
	}
	return out
}
