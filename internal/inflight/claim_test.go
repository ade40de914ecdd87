package inflight

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/poison"
)

// longClaim returns a Claim with an encoding of the largest size.
func longClaim(i int) poison.Claim {
	c := poison.Claim{
		Key: 1<<63 + poison.Key(i), Head: 1<<62 + poison.Key(i), Source: 1 << 31,
		HoldRemaining: time.Hour, HoldAge: time.Hour, Responded: true, ResponseAge: time.Minute,
	}
	for j := range 4 {
		c.Crashes = append(c.Crashes, poison.Crash{Upstream: uint32(j) << 29, Age: 9 * time.Minute})
	}
	return c
}

func TestClaimsRoundTrip(t *testing.T) {
	want := Report{Entry: "edge-sohar-hall-12", Scope: ScopeNone, Incarnation: 1 << 41, Sequence: 1 << 30, Last: allUpstreams}
	for i := range maxClaims {
		want.Claims = append(want.Claims, longClaim(i))
	}
	want.Claims[3] = poison.Claim{Key: 5, Head: 5, Source: 6}
	b := want.Append(nil)
	if len(b) > maxDatagram {
		t.Errorf("report has %d bytes, more than a datagram", len(b))
	}
	got, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Claims, want.Claims) {
		t.Errorf("got %+v", got.Claims)
	}
}

func TestMalformedClaimsAreRefused(t *testing.T) {
	bad := longClaim(0)
	for len(bad.Crashes) <= maxClaimCrashes {
		bad.Crashes = append(bad.Crashes, poison.Crash{})
	}
	r := Report{Entry: "e", Scope: ScopeNone, Last: allUpstreams, Claims: []poison.Claim{bad}}
	if _, err := Decode(r.Append(nil)); err == nil {
		t.Error("a claim with too many crashes is accepted")
	}
	r.Claims = []poison.Claim{longClaim(0)}
	whole := r.Append(nil)
	for n := 1; n < 20; n++ {
		if _, err := Decode(whole[:len(whole)-n]); err == nil {
			t.Errorf("a report cut by %d bytes is accepted", n)
		}
	}
}

// TestClaimsInNameOfOthersAreRefused sends Claims of other entries in a fleet without hubs,
// and a Claim of the sender itself from an address that is not the sender's.
func TestClaimsInNameOfOthersAreRefused(t *testing.T) {
	accepted := 0
	peer := Peer{ID: "p", Address: netip.MustParseAddrPort("10.0.0.2:7200")}
	x := &Exchange{hubs: newHubs("self"), presence: newPresence(), opt: Options{
		Entry:           "self",
		Fleet:           func() Fleet { return Fleet{Peers: []Peer{peer}} },
		OnReport:        func(_ string, r *Report) { accepted += len(r.Claims) },
		OnUnknownSender: func(netip.AddrPort) {},
	}}
	claimOf := func(entry string) poison.Claim { return poison.Claim{Key: 1, Head: 1, Source: poison.HashEntry(entry)} }
	x.handleReport(&Report{Entry: "p", Scope: ScopeNone, Claims: []poison.Claim{claimOf("p"), claimOf("q"), claimOf("self")}}, peer.Address, t0)
	if accepted != 1 {
		t.Errorf("%d claims accepted, want the one of the sender", accepted)
	}
	x.handleReport(&Report{Entry: "p", Scope: ScopeNone, Claims: []poison.Claim{claimOf("p")}}, netip.MustParseAddrPort("10.0.0.9:7200"), t0)
	if accepted != 1 {
		t.Error("a report from another address is accepted")
	}
}

// TestClaimsReachAllThroughHubs has a request crash upstreams of entries in two failure domains
// of a fleet that is too large for direct reports. All entries hold the request then, including
// idle entries.
func TestClaimsReachAllThroughHubs(t *testing.T) {
	const perDomain = maxDirect/2 + 2
	all := startFleet(t, perDomain)
	for i, e := range all {
		e.idle.Store(i%3 == 0)
	}
	req := poison.Request{Method: "GET", Host: "a", Target: "/deadly"}
	keys := req.HeadKeys()
	for i, at := range []int{1, perDomain + 1, perDomain + 2} {
		all[at].tracker.RecordCrash(time.Now(), keys, keys, uint32(i))
	}
	deadline := time.Now().Add(waitTimeout)
	for _, e := range all {
		for !e.tracker.Begin(time.Now(), keys).Held {
			e.tracker.End(keys)
			if time.Now().After(deadline) {
				t.Fatalf("request is not held at %s", e.peer.ID)
			}
			time.Sleep(pollEvery)
		}
	}
}
