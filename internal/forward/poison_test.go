package forward

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// endingEntry is an entry in front of upstreams that end under each request.
func endingEntry(t *testing.T, n int) (*entry, []*fake) {
	fakes := make([]*fake, n)
	for i := range fakes {
		fakes[i] = newFake(t)
		fakes[i].always = diesRead
	}
	return newEntry(t, fakes), fakes
}

func runs(fakes []*fake) int {
	n := 0
	for _, f := range fakes {
		n += len(f.receipts())
	}
	return n
}

// used is how many upstreams got a request. One that ends here is there again at once, and
// may get another.
func used(fakes []*fake) int {
	n := 0
	for _, f := range fakes {
		if len(f.receipts()) > 0 {
			n++
		}
	}
	return n
}

// TestRefusedAtOnceAfterThreeEnds sends one request again with other ids, as an unsafe
// one, an upload in pieces, and one that is safe to repeat.
func TestRefusedAtOnceAfterThreeEnds(t *testing.T) {
	for _, tt := range []struct{ method, body, repeat string }{
		{"GET", "", "safe"}, {"POST", "reading 17", "unsafe"}, {"DELETE", "", "unsafe"},
	} {
		t.Run(tt.method, func(t *testing.T) {
			e, fakes := endingEntry(t, 8)
			send := func(id int, path string) told {
				return e.send(t, tt.method, path, tt.body, header.Repeat, tt.repeat, header.RequestID, fmt.Sprint("id-", id))
			}
			id := 0
			for ; used(fakes) < 3; id++ {
				if a := send(id, "/deadly"); a.verdict(t) != verdict.MayHaveRun || a.status != http.StatusBadGateway {
					t.Fatalf("try %d: %d, %v", id, a.status, a.verdict(t))
				}
				if id > 50 {
					t.Fatal("not sent to three upstreams")
				}
			}
			before := runs(fakes)
			a := send(id, "/deadly")
			if a.status != http.StatusServiceUnavailable || a.verdict(t) != verdict.NotRun {
				t.Errorf("status %d, %v", a.status, a.verdict(t))
			}
			if s, err := strconv.Atoi(a.header.Get("Retry-After")); err != nil || s < 100 {
				t.Errorf("to come back in %q s", a.header.Get("Retry-After"))
			}
			if n := runs(fakes); n != before || used(fakes) != 3 {
				t.Errorf("%d runs, then %d, at %d upstreams", before, n, used(fakes))
			}
			for _, f := range fakes {
				f.mu.Lock()
				f.always = answers
				f.mu.Unlock()
			}
			if a := send(id+1, "/other"); a.status != http.StatusOK {
				t.Errorf("another request: status %d: %s", a.status, a.body)
			}
		})
	}
}

// TestStalledUploadIsAnsweredAtItsDeadline sends the header of an upload and none of its
// body, also of one that must be looked at before it is sent, since an upstream ended under
// one like it. The answer came only with the next bytes of the body.
func TestStalledUploadIsAnsweredAtItsDeadline(t *testing.T) {
	for _, known := range []bool{false, true} {
		t.Run(fmt.Sprint("known ", known), func(t *testing.T) {
			e, fakes := endingEntry(t, 3)
			if known {
				e.send(t, "POST", "/x", "deadly", header.Repeat, "unsafe", header.RequestID, "d-1")
			}
			before := runs(fakes)
			body, never := io.Pipe()
			defer never.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.url+"/x", body)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set(header.Service, "orders")
			req.Header.Set(header.Deadline, "100")
			client := &http.Client{Timeout: 10 * time.Second}
			resp, err := client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			want := http.StatusGatewayTimeout
			if known {
				want = http.StatusServiceUnavailable
			}
			if resp.StatusCode != want || runs(fakes) != before {
				t.Errorf("status %d, want %d; %d runs more", resp.StatusCode, want, runs(fakes)-before)
			}
		})
	}
}

// TestBodiesTellUploadsApart has upstreams end under one upload: another to the same path
// and of the same length is served.
func TestBodiesTellUploadsApart(t *testing.T) {
	e, fakes := endingEntry(t, 6)
	for i := range 4 {
		e.send(t, "POST", "/x", "deadly", header.Repeat, "unsafe", header.RequestID, fmt.Sprint("d-", i))
	}
	if a := e.send(t, "POST", "/x", "deadly", header.Repeat, "unsafe", header.RequestID, "d-9"); a.status != http.StatusServiceUnavailable {
		t.Errorf("the deadly one: status %d", a.status)
	}
	for _, f := range fakes {
		f.mu.Lock()
		f.always = answers
		f.mu.Unlock()
	}
	if a := e.send(t, "POST", "/x", "benign", header.Repeat, "unsafe", header.RequestID, "b-1"); a.status != http.StatusOK {
		t.Errorf("the other one: status %d: %s", a.status, a.body)
	}
}
