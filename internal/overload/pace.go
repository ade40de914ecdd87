package overload

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant with which counts of arrivals and sends decay: a few times the
	// time that a request waits at most, so that single requests hardly change a rate.
	rateWindow = 2 * time.Second
	// priorWindow is the weight of the expected pace in the observed one, as a time of observation.
	priorWindow = 500 * time.Millisecond
)

// decayed is a sum whose parts lose their weight exponentially. The zero value is empty.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum at a time.
func (d *decayed) value(now time.Time) float64 {
	if d.at.IsZero() || !now.After(d.at) {
		return d.sum
	}
	return d.sum * math.Exp(-float64(now.Sub(d.at))/float64(rateWindow))
}

// add adds a part.
func (d *decayed) add(now time.Time, part float64) {
	if now.Before(d.at) {
		// Callers read the clock before they wait for the lock.
		now = d.at
	}
	d.sum, d.at = d.value(now)+part, now
}

// perSecond returns the rate of a sum that counts events.
func (d *decayed) perSecond(now time.Time) float64 { return d.value(now) / rateWindow.Seconds() }

// pace measures how many requests per second are sent while others wait.
type pace struct {
	sent decayed
	busy decayed
	// busySince is when requests began to wait, or until when the time since is counted; zero while
	// none waits.
	busySince time.Time
}

// advance counts the time since the last call as one in which requests waited or did not.
func (p *pace) advance(now time.Time, waiting bool) {
	if !p.busySince.IsZero() && now.After(p.busySince) {
		p.busy.add(now, now.Sub(p.busySince).Seconds())
	}
	p.busySince = time.Time{}
	if waiting {
		p.busySince = now
	}
}

// perSecond returns the measured pace, at least expected: fewer are also sent if a few requests wait for
// single upstreams while there is room at others.
func (p *pace) perSecond(now time.Time, expected float64) float64 {
	prior := priorWindow.Seconds()
	return max(expected, (p.sent.value(now)+expected*prior)/(p.busy.value(now)+prior))
}
