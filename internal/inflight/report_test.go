package inflight

import (
	"reflect"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
)

func countOf(upstream uint32, requests int, failed, total float64, backingOff int, draining bool) Count {
	return Count{upstream, balance.Load{Requests: requests, Outcomes: balance.Outcomes{Failed: failed, Total: total}, BackingOff: backingOff, Draining: draining}}
}

func TestReportRoundTrip(t *testing.T) {
	want := &Report{Entry: "edge-1", Scope: ScopeOthers, First: 1, Last: 1 << 31, Incarnation: 7, Sequence: 9, Leaving: true, Answered: true, Idle: true, Absent: []uint32{7, 1 << 31}, MaxConnIdle: 150 * time.Millisecond, MaxConnIdleLeft: 4 * time.Second, Counts: []Count{countOf(0xfedcba98, 3, 0, 0, 7, true), countOf(1, 400, 2.5, 7, 0, false), countOf(2, 0, 0, 0, 0, true)}}
	got, err := Decode(want.Append(nil))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestReportFitsADatagram(t *testing.T) {
	r := Report{Entry: "an entry with a name of some length", Incarnation: 1 << 60, Sequence: 1 << 40}
	for i := range 5000 {
		r.Counts = append(r.Counts, countOf(uint32(i), 400, 100, 1000, 400, true))
	}
	if n := len(r.Append(nil)); n > maxDatagram {
		t.Errorf("report has %d bytes, more than a datagram", n)
	}
}

func TestMalformedReports(t *testing.T) {
	whole := (&Report{Entry: "e", Counts: []Count{countOf(1, 2, 1, 3, 1, true)}}).Append(nil)
	for name, b := range map[string][]byte{
		"cut":                     whole[:len(whole)-1],
		"upstream but no request": {fieldUpstreams<<3 | 2, 4, 1, 2, 3, 4},
		"request but no upstream": {fieldRequests<<3 | 2, 1, 5},
		"half an upstream":        {fieldUpstreams<<3 | 2, 2, 1, 2},
	} {
		if _, err := Decode(b); err == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}

// TestManyAnnouncementsAreReportedInTurn has more upstreams with announcements than a report holds.
func TestManyAnnouncementsAreReportedInTurn(t *testing.T) {
	const n = maxCounts
	seen := make(map[uint32]bool)
	for sequence := range uint64(n/maxAnnouncements + 1) {
		r := Report{Entry: "e", Sequence: 100 + sequence}
		for i := range n {
			r.Counts = append(r.Counts, countOf(uint32(i), 0, 0, 0, 0, true))
		}
		got, err := Decode(r.Append(nil))
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range got.Counts {
			seen[c.Upstream] = seen[c.Upstream] || c.Draining
		}
	}
	for i := range uint32(n) {
		if !seen[i] {
			t.Errorf("the drain of upstream %d was not reported", i)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&Report{Entry: "e", Sequence: 3, Counts: []Count{countOf(1, 2, 1, 3, 1, true)}}).Append(nil))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil || len(r.Counts) > maxCounts {
			return
		}
		again, err := Decode(r.Append(nil))
		if err != nil || len(again.Counts) != len(r.Counts) {
			t.Errorf("%+v became %+v, %v", r, again, err)
		}
	})
}
