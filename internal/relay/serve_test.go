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

// maxAge is how old what peers know may be in these tests.
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = rpc.Serve(ctx, lis, mux, nil)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return lis.Addr().String()
}

func newClient(t *testing.T) *Client {
	dialer := rpc.NewDialer(nil, nil)
	t.Cleanup(func() { dialer.Close() })
	return NewClient(NewCall(dialer), time.Now)
}

func TestFollowOverTheWire(t *testing.T) {
	cache := following(Batch{Full: true, Records: []Record{{Key: "a", Value: []byte("1"), Revision: 4}}, Revision: 7})
	addr, client := serve(t, cache), newClient(t)
	b, err := client.Changes(t.Context(), addr, 0, time.Second)
	if err != nil || !b.Full || b.Revision != 7 || string(b.Records[0].Value) != "1" || !b.RecoveredAt.IsZero() {
		t.Fatalf("%+v, %v", b, err)
	}
	cache.Apply(Batch{Records: []Record{gone("a", 8)}, Revision: 8})
	b, err = client.Changes(t.Context(), addr, b.Revision, time.Second)
	if err != nil || b.Full || !slices.Equal(keysOf(b.Batch), []string{"-a"}) {
		t.Fatalf("%+v, %v", b, err)
	}
}

func TestPeerThatDoesNotFollow(t *testing.T) {
	cache := following(Batch{Full: true, Revision: 7})
	cache.SetState(State{Following: false})
	reply, err := newClient(t).Changes(t.Context(), serve(t, cache), 5, time.Second)
	if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrStoreUnreachable) {
		t.Error(err)
	}
	if reply.Revision != 7 || !reply.CompleteUntil.IsZero() {
		t.Errorf("revision %d, complete until %v; want what the peer knows, and no word that it is complete", reply.Revision, reply.CompleteUntil)
	}
}

func TestPeerTellsThatTheServiceWasAway(t *testing.T) {
	cache := following(Batch{Full: true, Revision: 7})
	back := time.Now().Add(-time.Second)
	cache.SetState(State{Following: true, RecoveredAt: back})
	reply, err := newClient(t).Changes(t.Context(), serve(t, cache), 0, time.Second)
	if err != nil || reply.RecoveredAt.Before(back.Add(-time.Second)) || reply.RecoveredAt.After(time.Now()) {
		t.Error(reply.RecoveredAt, back, err)
	}
}

// TestAgeIsTold has a peer whose knowledge was complete some time ago. An entry that follows
// it must not take what it hears for newer, and must not follow a peer that is deaf.
func TestAgeIsTold(t *testing.T) {
	for _, tt := range []struct {
		age  time.Duration
		want error
	}{{0, nil}, {maxAge / 2, nil}, {maxAge, ErrUnavailable}, {time.Hour, ErrUnavailable}} {
		synctest.Test(t, func(t *testing.T) {
			cache := NewCache()
			cache.SetState(State{Following: true})
			cache.Apply(Batch{Full: true, Records: []Record{put("a", 1)}, Revision: 1})
			complete := time.Now().Add(-tt.age)
			cache.SetCompleteUntil(complete)
			const way = 100 * time.Millisecond
			far := func(ctx context.Context, _ string, req *pb.RelayRequest) (*pb.RelayReply, error) {
				time.Sleep(way)
				return NewServer(cache, maxAge, time.Now).Changes(ctx, req)
			}
			got, err := NewClient(far, time.Now).Changes(t.Context(), "peer", 1, 0)
			if !errors.Is(err, tt.want) {
				t.Fatalf("%v, want %v", err, tt.want)
			}
			if early := complete.Sub(got.CompleteUntil); err == nil && (early < 0 || early > way) {
				t.Errorf("complete until %v ago, told to be so until %v ago", time.Since(complete), time.Since(got.CompleteUntil))
			}
		})
	}
}

// TestAgeIsThatOfTheRecords proves the knowledge of a reader complete, with a change, just
// after an answer was made. The answer lacks the change and must not be told to be complete.
func TestAgeIsThatOfTheRecords(t *testing.T) {
	cache := following(Batch{Full: true, Revision: 1})
	b, _ := cache.Wait(t.Context(), 1, 0)
	cache.Apply(Batch{Records: []Record{put("a", 2)}, Revision: 2, CompleteUntil: b.CompleteUntil.Add(time.Second)})
	if !b.CompleteUntil.Before(cache.CompleteUntil()) || len(b.Records) > 0 {
		t.Errorf("%+v, complete until %v", b, cache.CompleteUntil())
	}
}

// TestAgeAfterAWait has a reader prove its knowledge complete while it holds an answer back.
func TestAgeAfterAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := following(Batch{Full: true, Revision: 1})
		direct := func(ctx context.Context, _ string, req *pb.RelayRequest) (*pb.RelayReply, error) {
			return NewServer(cache, maxAge, time.Now).Changes(ctx, req)
		}
		proved := time.Now().Add(400 * time.Millisecond)
		cache.complete = time.Time{}
		time.AfterFunc(450*time.Millisecond, func() { cache.SetCompleteUntil(proved) })
		got, err := NewClient(direct, time.Now).Changes(t.Context(), "peer", 1, 500*time.Millisecond)
		if err != nil || !got.CompleteUntil.Equal(proved) {
			t.Errorf("complete until %v, want %v; %v", got.CompleteUntil, proved, err)
		}
	})
}

// A peer that takes the connection and never answers, as a frozen one does, is given
// up.
func TestSilentPeerIsGivenUp(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	if _, err := newClient(t).Changes(t.Context(), lis.Addr().String(), 0, time.Millisecond); err == nil {
		t.Error("a silent peer is believed")
	}
}

// TestLongValuesShrink sends a configuration of many routes, which is what a reader
// sends to all of its failure domain over one link.
func TestLongValuesShrink(t *testing.T) {
	long := []byte(strings.Repeat(`{"host":"a.example","pathPrefix":"/x/","timeoutS":2.5},`, 10_000))
	cache := following(Batch{Full: true, Records: []Record{{Key: "config", Value: long, Revision: 1}}, Revision: 1})
	b, _ := cache.Wait(t.Context(), 0, 0)
	if sent := recordsToProto(b.Records)[0]; len(sent.GetPacked()) > len(long)/10 || len(sent.GetValue()) > 0 {
		t.Errorf("%d bytes become %d", len(long), len(sent.GetPacked())+len(sent.GetValue()))
	}
	got, err := newClient(t).Changes(t.Context(), serve(t, cache), 0, time.Second)
	if err != nil || !bytes.Equal(got.Records[0].Value, long) {
		t.Errorf("%d bytes, %v", len(got.Records[0].Value), err)
	}
}

func TestCutValueIsRefused(t *testing.T) {
	r := Record{Key: "config", Value: bytes.Repeat([]byte("abc"), packFrom)}
	r.pack()
	r.packed = r.packed[:len(r.packed)-1]
	if err := r.unpack(); err == nil || !strings.Contains(err.Error(), "config") {
		t.Error(err)
	}
}
