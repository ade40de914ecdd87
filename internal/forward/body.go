package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/poison"
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

	// prefixMu guards prefix alone: mu may be held for as long as the caller takes.
	prefixMu sync.Mutex
	// prefix is the beginning of the body, up to poison.BodyPrefix bytes, also of one
	// that is too long to be kept.
	prefix []byte
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
	b.keepPrefix(p[:n])
	b.keep(p[:n])
	a.pos += n
	return n, err
}

// begun returns the beginning of the body, up to poison.BodyPrefix bytes, as far as it
// was read, and whether that is all of it.
func (b *replayBody) begun() (prefix []byte, whole bool) {
	b.prefixMu.Lock()
	defer b.prefixMu.Unlock()
	n := int64(len(b.prefix))
	return b.prefix, n == poison.MaxBodyPrefix || n == b.length
}

// peek returns what begun does, and reads what is missing from the caller. It reports
// false if ctx ends first, or the caller breaks off.
func (b *replayBody) peek(ctx context.Context) ([]byte, bool) {
	if prefix, whole := b.begun(); whole {
		return prefix, true
	}
	done := make(chan error, 1)
	go func() { done <- b.readPrefix() }()
	select {
	case err := <-done:
		prefix, _ := b.begun()
		return prefix, err == nil
	case <-ctx.Done():
		return nil, false
	}
}

// readPrefix reads on until the prefix is whole.
func (b *replayBody) readPrefix() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf := make([]byte, poison.MaxBodyPrefix)
	for b.err == nil {
		prefix, whole := b.begun()
		if whole {
			return nil
		}
		n, err := b.src.Read(buf[:poison.MaxBodyPrefix-len(prefix)])
		b.err = err
		b.keepPrefix(buf[:n])
		b.keep(buf[:n])
	}
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// interrupt has a read of the caller's body that is under way when ctx ends fail, and
// returns how to stop that. net/http writes no answer while a body is being read, so that
// without it the caller of a stalled upload got its answer only with its next bytes.
func (b *replayBody) interrupt(ctx context.Context, w http.ResponseWriter) (stop func() bool) {
	if b.length == 0 {
		return func() bool { return true }
	}
	return context.AfterFunc(ctx, func() {
		if b.mu.TryLock() {
			b.mu.Unlock()
			return
		}
		if err := http.NewResponseController(w).SetReadDeadline(longAgo); err != nil {
			klog.V(1).InfoS("read of a body not interrupted", "err", err)
		}
	})
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

func (b *replayBody) keepPrefix(p []byte) {
	b.prefixMu.Lock()
	defer b.prefixMu.Unlock()
	if missing := poison.MaxBodyPrefix - len(b.prefix); missing > 0 {
		b.prefix = append(b.prefix, p[:min(len(p), missing)]...)
	}
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
