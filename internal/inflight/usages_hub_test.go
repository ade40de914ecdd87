package inflight

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/poison"
	"github.com/loomkeel/loomkeel/internal/quota"
)

// fakeOrganisationLimits implements OrganisationLimits: it keeps the reports, and the own use is
// one request per second of one organisation.
type fakeOrganisationLimits struct {
	mu sync.Mutex
	// reports has the last report by reporter.
	reports map[string]quota.Report
	// changed receives a value for each report.
	changed chan struct{}
}

func (l *fakeOrganisationLimits) HasLimits() bool { return true }

func (l *fakeOrganisationLimits) Usages(own bool, from func(string) bool, _ time.Time) []quota.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0.0
	if own {
		sum = 1
	}
	for reporter, r := range l.reports {
		if from(reporter) && len(r.Usages) > 0 {
			sum += r.Usages[0].Admitted
		}
	}
	return []quota.Usage{{Organisation: 7, Admitted: sum, Requested: sum}}
}

func (l *fakeOrganisationLimits) CoveredWeight(from func(string) bool, _ time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for reporter, r := range l.reports {
		if from(reporter) {
			n += r.CoveredWeight
		}
	}
	return n
}

func (l *fakeOrganisationLimits) ApplyReport(r quota.Report, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[r.Reporter] = r
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

func (l *fakeOrganisationLimits) SetSources(quota.Self, []quota.Source, time.Time) {}

// TestSumsDoNotCirculateBetweenHubs has three entries of a fleet with hubs use each other as hubs,
// in a ring. The reported sums must
// not grow by circulating: when they did, requests of all organisations were refused for four
// seconds.
func TestSumsDoNotCirculateBetweenHubs(t *testing.T) {
	ids := []string{"a", "b", "c"}
	exchanges := make(map[string]*Exchange)
	limits := make(map[string]*fakeOrganisationLimits)
	peers := make(map[string]Peer)
	fleet := func(self string) func() Fleet {
		return func() Fleet {
			f := Fleet{Advertised: true}
			for i, id := range ids {
				if id != self {
					f.Peers = append(f.Peers, peers[id])
				}
				if id == self {
					f.HubCandidates = []Peer{peers[ids[(i+1)%3]], peers[ids[(i+2)%3]], {ID: self}}
				}
			}
			for i := range maxDirect {
				f.Peers = append(f.Peers, Peer{ID: fmt.Sprint("elsewhere-", i), Domain: "e"})
			}
			return f
		}
	}
	for _, id := range ids {
		limits[id] = &fakeOrganisationLimits{reports: make(map[string]quota.Report), changed: make(chan struct{}, 1)}
		x, err := Listen(Options{
			Address: "127.0.0.1:0", Entry: id, Fleet: fleet(id), OrganisationLimits: limits[id],
			Counts: func(balance.EntryFilter) []Count { return nil }, MaxConnIdle: func() (idle, left time.Duration) { return 0, 0 },
			Leaving: func() bool { return false }, OnReport: func(string, *Report) {}, OnUnknownSender: func(netip.AddrPort) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		exchanges[id] = x
		peers[id] = Peer{ID: id, Address: x.conn.(*net.UDPConn).LocalAddr().(*net.UDPAddr).AddrPort(), Domain: "d", SameRegion: true, Advertised: true}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, x := range exchanges {
		go x.Run(ctx)
	}
	for rounds := 0; rounds < 60; {
		for _, l := range limits {
			if all := l.Usages(true, func(string) bool { return true }, t0); all[0].Admitted > 4*float64(len(ids)) {
				t.Fatalf("%.0f requests per second are reported, there are %d", all[0].Admitted, len(ids))
			}
		}
		select {
		case <-limits["a"].changed:
			rounds++
		case <-t.Context().Done():
			t.Fatal("no report arrived")
		}
	}
}

// TestSingleEntryHasWholeLimit has an entry cut off from all others, whose registrations then
// expire: their part of a limit stays reserved while they may still use it, and no longer.
func TestSingleEntryHasWholeLimit(t *testing.T) {
	peers := []Peer{{ID: "b", Advertised: true}}
	x := &Exchange{hubs: newHubs("a"), presence: newPresence()}
	limits := quota.NewLimiter()
	table, err := model.NewOrganisations([]*model.Organisation{{Name: "o", Limit: model.Limit{Rate: 100, Burst: 100}}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	limits.Update(table, 0, t0)
	x.opt = Options{
		Entry: "a", OrganisationLimits: limits, Fleet: func() Fleet { return Fleet{Peers: peers, Advertised: true} }, Busy: func() bool { return false },
		Counts: func(balance.EntryFilter) []Count { return nil }, MaxConnIdle: func() (idle, left time.Duration) { return 0, 0 },
		Leaving: func() bool { return false }, Claims: func(int, bool) []poison.Claim { return nil },
	}
	if x.conn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	defer x.conn.Close()
	missing := func(now time.Time) float64 {
		x.sendDue(now)
		limits.Take("o", now)
		return limits.Status(1, now)[0].MissingShare
	}
	if got := missing(t0.Add(time.Second)); got != 0.5 {
		t.Errorf("beside one silent entry %v of the limit is reserved, want 0.5", got)
	}
	peers = nil
	for _, tt := range []struct {
		after time.Duration
		want  float64
	}{{0, 0.5}, {quota.DepartureHold - time.Millisecond, 0.5}, {quota.DepartureHold, 0}} {
		if got := missing(t0.Add(2*time.Second + tt.after)); got != tt.want {
			t.Errorf("as the only entry for %v %v of the limit is reserved, want %v", tt.after, got, tt.want)
		}
	}
}
