package relay

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/loomkeel/loomkeel/internal/rpc"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// maxAge is the maximum age of the servers in these tests.
const maxAge = 1500 * time.Millisecond

// serve serves a Cache on loopback and returns its address.
func serve(t *testing.T, c *Cache) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux, err := NewMux(NewServer(c, maxAge, time.Now))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = rpc.Serve(ctx, lis, mux, nil)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return lis.Addr().String()
}

// newClient returns a Client whose connections are closed when the test ends.
func newClient(t *testing.T) *Client {
	dialer := rpc.NewDialer(nil, nil)
	t.Cleanup(func() { dialer.Close() })
	return NewClient(NewCall(dialer), time.Now)
}

// TestChangesOverConnection requests a full batch and then a change over a connection.
func TestChangesOverConnection(t *testing.T) {
	cache := newFollowingCache(Batch{Full: true, Records: []Record{{Key: "a", Value: []byte("1"), Revision: 4}}, Revision: 7})
	addr, client := serve(t, cache), newClient(t)
	b, err := client.Changes(t.Context(), addr, 0, time.Second)
	if err != nil || !b.Full || b.Revision != 7 || string(b.Records[0].Value) != "1" || !b.RecoveredAt.IsZero() {
		t.Fatalf("%+v, %v", b, err)
	}
	cache.Apply(Batch{Records: []Record{tombstone("a", 8)}, Revision: 8})
	b, err = client.Changes(t.Context(), addr, b.Revision, time.Second)
	if err != nil || b.Full || !slices.Equal(keysOf(b.Batch), []string{"-a"}) {
		t.Fatalf("%+v, %v", b, err)
	}
}

// TestUnavailablePeer requests changes from a node that does not follow the store. Its reply
// must hold the records that it has, but no time up to which they are complete.
func TestUnavailablePeer(t *testing.T) {
	cache := newFollowingCache(Batch{Full: true, Revision: 7})
	cache.SetState(State{Following: false})
	reply, err := newClient(t).Changes(t.Context(), serve(t, cache), 5, time.Second)
	if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrStoreUnreachable) {
		t.Error(err)
	}
	if reply.Revision != 7 || !reply.CompleteUntil.IsZero() {
		t.Errorf("revision %d, complete until %v; want revision 7 and no time", reply.Revision, reply.CompleteUntil)
	}
}

// TestPeerReportsRecovery requests changes from a node that reached the store again a second
// ago.
func TestPeerReportsRecovery(t *testing.T) {
	cache := newFollowingCache(Batch{Full: true, Revision: 7})
	recoveredAt := time.Now().Add(-time.Second)
	cache.SetState(State{Following: true, RecoveredAt: recoveredAt})
	reply, err := newClient(t).Changes(t.Context(), serve(t, cache), 0, time.Second)
	if err != nil || reply.RecoveredAt.Before(recoveredAt.Add(-time.Second)) || reply.RecoveredAt.After(time.Now()) {
		t.Error(reply.RecoveredAt, recoveredAt, err)
	}
}

// TestReplyCarriesAge has a peer whose cache is complete up to some time ago. A node that
// follows the peer must not consider the peer's records newer than that, and must not follow a
// peer that no longer receives changes.
func TestReplyCarriesAge(t *testing.T) {
	for _, tt := range []struct {
		age  time.Duration
		want error
	}{{0, nil}, {maxAge / 2, nil}, {maxAge, ErrUnavailable}, {time.Hour, ErrUnavailable}} {
		synctest.Test(t, func(t *testing.T) {
			cache := NewCache()
			cache.SetState(State{Following: true})
			cache.Apply(Batch{Full: true, Records: []Record{record("a", 1)}, Revision: 1})
			complete := time.Now().Add(-tt.age)
			cache.SetCompleteUntil(complete)
			const latency = 100 * time.Millisecond
			delayed := func(ctx context.Context, _ string, req *pb.RelayRequest) (*pb.RelayReply, error) {
				time.Sleep(latency)
				return NewServer(cache, maxAge, time.Now).Changes(ctx, req)
			}
			got, err := NewClient(delayed, time.Now).Changes(t.Context(), "peer", 1, 0)
			if !errors.Is(err, tt.want) {
				t.Fatalf("%v, want %v", err, tt.want)
			}
			if early := complete.Sub(got.CompleteUntil); err == nil && (early < 0 || early > latency) {
				t.Errorf("cache complete until %v ago, reply complete until %v ago", time.Since(complete), time.Since(got.CompleteUntil))
			}
		})
	}
}

// TestAgeBelongsToRecords applies a change with a later completion time just after a batch was
// read from the cache. The batch lacks the change and must not have the later time.
func TestAgeBelongsToRecords(t *testing.T) {
	cache := newFollowingCache(Batch{Full: true, Revision: 1})
	b, _ := cache.Wait(t.Context(), 1, 0)
	cache.Apply(Batch{Records: []Record{record("a", 2)}, Revision: 2, CompleteUntil: b.CompleteUntil.Add(time.Second)})
	if !b.CompleteUntil.Before(cache.CompleteUntil()) || len(b.Records) > 0 {
		t.Errorf("batch %+v, cache complete until %v", b, cache.CompleteUntil())
	}
}

// TestAgeAfterWait advances the completion time of a cache during a wait. The reply must have
// the later time.
func TestAgeAfterWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := newFollowingCache(Batch{Full: true, Revision: 1})
		direct := func(ctx context.Context, _ string, req *pb.RelayRequest) (*pb.RelayReply, error) {
			return NewServer(cache, maxAge, time.Now).Changes(ctx, req)
		}
		until := time.Now().Add(400 * time.Millisecond)
		cache.completeUntil = time.Time{}
		time.AfterFunc(450*time.Millisecond, func() { cache.SetCompleteUntil(until) })
		got, err := NewClient(direct, time.Now).Changes(t.Context(), "peer", 1, 500*time.Millisecond)
		if err != nil || !got.CompleteUntil.Equal(until) {
			t.Errorf("complete until %v, want %v; %v", got.CompleteUntil, until, err)
		}
	})
}

// TestSilentPeerTimesOut requests changes from a peer that accepts the connection and never
// replies, as a frozen process does.
func TestSilentPeerTimesOut(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	if _, err := newClient(t).Changes(t.Context(), lis.Addr().String(), 0, time.Millisecond); err == nil {
		t.Error("no error from a peer that does not reply")
	}
}

// TestLongValuesCompressed sends a configuration of many routes, as a reader does to all nodes
// of its failure domain over one link.
func TestLongValuesCompressed(t *testing.T) {
	long := []byte(strings.Repeat(`{"host":"a.example","pathPrefix":"/x/","timeoutS":2.5},`, 10_000))
	cache := newFollowingCache(Batch{Full: true, Records: []Record{{Key: "config", Value: long, Revision: 1}}, Revision: 1})
	b, _ := cache.Wait(t.Context(), 0, 0)
	if sent := recordsToProto(b.Records)[0]; len(sent.GetPacked()) > len(long)/10 || len(sent.GetValue()) > 0 {
		t.Errorf("%d bytes were sent as %d", len(long), len(sent.GetPacked())+len(sent.GetValue()))
	}
	got, err := newClient(t).Changes(t.Context(), serve(t, cache), 0, time.Second)
	if err != nil || !bytes.Equal(got.Records[0].Value, long) {
		t.Errorf("%d bytes, %v", len(got.Records[0].Value), err)
	}
}

// TestTruncatedValueRefused decompresses a truncated value.
func TestTruncatedValueRefused(t *testing.T) {
	r := Record{Key: "config", Value: bytes.Repeat([]byte("abc"), minCompressSize)}
	r.compress()
	r.compressed = r.compressed[:len(r.compressed)-1]
	if err := r.decompress(); err == nil || !strings.Contains(err.Error(), "config") {
		t.Error(err)
	}
}
