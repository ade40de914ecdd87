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

// newCrashingEntry returns an entry in front of n upstreams that close the connection after
// reading each request.
func newCrashingEntry(t *testing.T, n int) (*entry, []*fakeUpstream) {
	fakes := make([]*fakeUpstream, n)
	for i := range fakes {
		fakes[i] = newFakeUpstream(t)
		fakes[i].always = closesAfterRead
	}
	return newEntry(t, fakes), fakes
}

func totalRuns(fakes []*fakeUpstream) int {
	n := 0
	for _, f := range fakes {
		n += len(f.received())
	}
	return n
}

// upstreamsReached returns how many upstreams got a request. A fake upstream stays available
// after closing a connection and may get several requests.
func upstreamsReached(fakes []*fakeUpstream) int {
	n := 0
	for _, f := range fakes {
		if len(f.received()) > 0 {
			n++
		}
	}
	return n
}

// TestRejectedAfterThreeCrashes repeats one request with new IDs: an unsafe request, an upload
// in pieces, and a request that is safe to repeat. After three upstreams crashed, the request
// must be rejected without reaching an upstream.
func TestRejectedAfterThreeCrashes(t *testing.T) {
	for _, tt := range []struct{ method, body, repeat string }{
		{"GET", "", "safe"}, {"POST", "reading 17", "unsafe"}, {"DELETE", "", "unsafe"},
	} {
		t.Run(tt.method, func(t *testing.T) {
			e, fakes := newCrashingEntry(t, 8)
			send := func(id int, path string) result {
				return e.send(t, tt.method, path, tt.body, header.Repeat, tt.repeat, header.RequestID, fmt.Sprint("id-", id))
			}
			id := 0
			for ; upstreamsReached(fakes) < 3; id++ {
				if a := send(id, "/deadly"); a.verdict(t) != verdict.MayHaveRun || a.status != http.StatusBadGateway {
					t.Fatalf("try %d: status %d, verdict %v", id, a.status, a.verdict(t))
				}
				if id > 50 {
					t.Fatal("50 tries did not reach three upstreams")
				}
			}
			before := totalRuns(fakes)
			a := send(id, "/deadly")
			if a.status != http.StatusServiceUnavailable || a.verdict(t) != verdict.NotRun {
				t.Errorf("status %d, verdict %v", a.status, a.verdict(t))
			}
			if s, err := strconv.Atoi(a.header.Get("Retry-After")); err != nil || s < 100 {
				t.Errorf("Retry-After %q, want at least 100 seconds", a.header.Get("Retry-After"))
			}
			if n := totalRuns(fakes); n != before || upstreamsReached(fakes) != 3 {
				t.Errorf("%d runs before and %d after the rejection, at %d upstreams", before, n, upstreamsReached(fakes))
			}
			for _, f := range fakes {
				f.mu.Lock()
				f.always = responds
				f.mu.Unlock()
			}
			if a := send(id+1, "/other"); a.status != http.StatusOK {
				t.Errorf("other request: status %d: %s", a.status, a.body)
			}
		})
	}
}

// TestStalledUploadEndsAtDeadline sends the header of an upload but no body. In the second case
// an upstream crashed during a similar request, so that the entry reads the body before it
// sends the request. Without interrupting the read, the caller would get its response only
// after sending more of the body.
func TestStalledUploadEndsAtDeadline(t *testing.T) {
	for _, known := range []bool{false, true} {
		t.Run(fmt.Sprint("similar request crashed an upstream: ", known), func(t *testing.T) {
			e, fakes := newCrashingEntry(t, 3)
			if known {
				e.send(t, "POST", "/x", "deadly", header.Repeat, "unsafe", header.RequestID, "d-1")
			}
			before := totalRuns(fakes)
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
			if resp.StatusCode != want || totalRuns(fakes) != before {
				t.Errorf("status %d, want %d; %d further runs", resp.StatusCode, want, totalRuns(fakes)-before)
			}
		})
	}
}

// TestUploadsAreDistinguishedByBody makes upstreams crash during one upload. An upload with a
// different body of the same length to the same path must be served.
func TestUploadsAreDistinguishedByBody(t *testing.T) {
	e, fakes := newCrashingEntry(t, 6)
	for i := 0; upstreamsReached(fakes) < 3; i++ {
		if i > 50 {
			t.Fatal("50 tries did not reach three upstreams")
		}
		e.send(t, "POST", "/x", "deadly", header.Repeat, "unsafe", header.RequestID, fmt.Sprint("d-", i))
	}
	if a := e.send(t, "POST", "/x", "deadly", header.Repeat, "unsafe", header.RequestID, "d-9"); a.status != http.StatusServiceUnavailable {
		t.Errorf("crashing upload: status %d", a.status)
	}
	for _, f := range fakes {
		f.mu.Lock()
		f.always = responds
		f.mu.Unlock()
	}
	if a := e.send(t, "POST", "/x", "benign", header.Repeat, "unsafe", header.RequestID, "b-1"); a.status != http.StatusOK {
		t.Errorf("other upload: status %d: %s", a.status, a.body)
	}
}
