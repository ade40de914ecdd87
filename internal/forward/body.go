package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// replayLimit is how much of a request body is kept for another attempt. An
	// upload of some 100 KB, which an upstream may refuse before it has read it,
	// fits; a hundred of them take a tenth of a small instance's memory.
	replayLimit = 256 << 10
	// handOver is how long an attempt waits for the one before to end its read of
	// the caller's body, and handOverPoll how often it looks.
	handOver     = 250 * time.Millisecond
	handOverPoll = 2 * time.Millisecond
)

// errDetached is what a read of an ended attempt's body returns.
var errDetached = errors.New("forward: attempt has ended")

// replayBody is a caller's body that can be sent again as long as no more than
// replayLimit bytes of it were read.
type replayBody struct {
	// mu is held while the caller's body is read.
	mu     sync.Mutex
	src    io.Reader
	kept   []byte
	err    error
	over   bool
	length int64
	user   *attemptBody
}

func newReplayBody(r *http.Request) *replayBody {
	return &replayBody{src: r.Body, length: r.ContentLength}
}

// attemptBody is the body of one attempt. It has no GetBody, so that net/http
// never sends a request a second time by itself after a part of it was written.
type attemptBody struct {
	body *replayBody
	pos  int
}

// attach returns the body for the next attempt, from its start. It reports false if
// that is no longer possible: too much was read, or the attempt before still reads
// when ctx or the time for handing over ends.
func (b *replayBody) attach(ctx context.Context) (*attemptBody, bool) {
	for end := time.Now().Add(handOver); !b.mu.TryLock(); time.Sleep(handOverPoll) {
		if ctx.Err() != nil || time.Now().After(end) {
			return nil, false
		}
	}
	defer b.mu.Unlock()
	if b.over {
		return nil, false
	}
	b.user = &attemptBody{body: b}
	return b.user, true
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.user != a {
		return 0, errDetached
	}
	if !b.over && a.pos < len(b.kept) {
		n := copy(p, b.kept[a.pos:])
		a.pos += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.err = err
	b.keep(p[:n])
	a.pos += n
	return n, err
}

// callerError returns the error, other than its end, that reading the caller's
// body gave. It returns nil while the body is still being read.
func (b *replayBody) callerError() error {
	if !b.mu.TryLock() {
		return nil
	}
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

func (b *replayBody) keep(p []byte) {
	if b.over {
		return
	}
	if len(b.kept)+len(p) > replayLimit {
		b.over, b.kept = true, nil
		return
	}
	b.kept = append(b.kept, p...)
}

// Close implements io.Closer.
func (a *attemptBody) Close() error { return nil }
