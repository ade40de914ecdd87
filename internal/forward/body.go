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
	// maxReplayBytes is how many bytes of a request body are buffered for a retry. Uploads of
	// about 100 KB fit, which an upstream may reject before it has read them. A hundred full
	// buffers take a tenth of the memory of a small instance.
	maxReplayBytes = 256 << 10
	// handOverTimeout is how long a new attempt waits until the previous attempt's read of the
	// caller's body has returned. It tries to lock the body every handOverPollInterval.
	handOverTimeout      = 250 * time.Millisecond
	handOverPollInterval = 2 * time.Millisecond
	// unreadBodyTimeout is how long a response that the Proxy generates waits for the rest of the
	// request body. If the rest arrives in time, the caller's connection stays open.
	unreadBodyTimeout = 50 * time.Millisecond
)

// errDetached is returned by reads through the body of an attempt that has been replaced.
var errDetached = errors.New("forward: attempt has ended")

// replayBody is a caller's request body that can be sent again as long as at most
// maxReplayBytes were read from it.
type replayBody struct {
	// mu is held during reads of the caller's body.
	mu         sync.Mutex
	src        io.Reader
	buffered   []byte
	err        error
	overflowed bool
	length     int64
	current    *attemptBody

	// prefixMu guards prefix. It is separate because mu is held for as long as a read from the
	// caller blocks.
	prefixMu sync.Mutex
	// prefix is the beginning of the body, up to poison.MaxBodyPrefix bytes. It is kept even if
	// the body is too long to be buffered.
	prefix []byte
}

func newReplayBody(r *http.Request) *replayBody {
	return &replayBody{src: r.Body, length: r.ContentLength}
}

// attemptBody is the request body of one attempt. The request has no GetBody, so net/http never
// resends it by itself after part of it was written.
type attemptBody struct {
	body *replayBody
	pos  int
}

// attach returns a body for the next attempt, which reads from the start. It returns false if
// that is impossible: more than maxReplayBytes were read, or the previous attempt is still
// reading when ctx ends or handOverTimeout has passed.
func (b *replayBody) attach(ctx context.Context) (*attemptBody, bool) {
	for end := time.Now().Add(handOverTimeout); !b.mu.TryLock(); time.Sleep(handOverPollInterval) {
		if ctx.Err() != nil || time.Now().After(end) {
			return nil, false
		}
	}
	defer b.mu.Unlock()
	if b.overflowed {
		return nil, false
	}
	b.current = &attemptBody{body: b}
	return b.current, true
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != a {
		return 0, errDetached
	}
	if !b.overflowed && a.pos < len(b.buffered) {
		n := copy(p, b.buffered[a.pos:])
		a.pos += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.err = err
	b.appendPrefix(p[:n])
	b.appendBuffered(p[:n])
	a.pos += n
	return n, err
}

// prefixRead returns the part of the prefix that has been read so far, and whether that is the
// whole prefix.
func (b *replayBody) prefixRead() (prefix []byte, complete bool) {
	b.prefixMu.Lock()
	defer b.prefixMu.Unlock()
	n := int64(len(b.prefix))
	return b.prefix, n == poison.MaxBodyPrefix || n == b.length
}

// peekPrefix returns the prefix and reads missing bytes from the caller. It returns false if
// ctx ends first or the caller breaks off.
func (b *replayBody) peekPrefix(ctx context.Context) ([]byte, bool) {
	if prefix, complete := b.prefixRead(); complete {
		return prefix, true
	}
	done := make(chan error, 1)
	go func() { done <- b.readPrefix() }()
	select {
	case err := <-done:
		prefix, _ := b.prefixRead()
		return prefix, err == nil
	case <-ctx.Done():
		return nil, false
	}
}

// readPrefix reads from the caller until the prefix is complete.
func (b *replayBody) readPrefix() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf := make([]byte, poison.MaxBodyPrefix)
	for b.err == nil {
		prefix, complete := b.prefixRead()
		if complete {
			return nil
		}
		n, err := b.src.Read(buf[:poison.MaxBodyPrefix-len(prefix)])
		b.err = err
		b.appendPrefix(buf[:n])
		b.appendBuffered(buf[:n])
	}
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// pastTime is used as a deadline that has already passed.
var pastTime = time.Unix(1, 0)

// interruptRead makes reads of the caller's body fail once ctx ends, so that a stalled upload
// ends at its deadline. The returned function cancels this; it must be called before the handler
// returns.
func (b *replayBody) interruptRead(ctx context.Context, w http.ResponseWriter) (cancel func()) {
	if b.length == 0 {
		return func() {}
	}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		if b.ended() {
			return
		}
		if err := http.NewResponseController(w).SetReadDeadline(pastTime); err != nil {
			klog.V(1).InfoS("interrupting the read of a stalled request body failed", "err", err)
		}
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

// ended reports whether the body has no further bytes, or reading it has failed.
func (b *replayBody) ended() bool {
	if b.length == 0 {
		return true
	}
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.err != nil
}

// limitBodyWait bounds how long the response to r waits for the request body: not at all once
// ctx has ended. net/http reads the rest of a body before it writes the response and reuses the
// connection, so without the limit a caller that has stopped sending would get no response. If the
// read fails, net/http closes the connection.
func limitBodyWait(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	deadline := time.Now().Add(unreadBodyTimeout)
	if ctx.Err() != nil {
		deadline = pastTime
	}
	if err := http.NewResponseController(w).SetReadDeadline(deadline); err != nil {
		klog.V(1).InfoS("limiting the wait for an unread request body failed", "err", err)
	}
}

// callerError returns the error of reading the caller's body. It returns nil at the end of the
// body and while a read is in progress.
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

func (b *replayBody) appendPrefix(p []byte) {
	b.prefixMu.Lock()
	defer b.prefixMu.Unlock()
	if missing := poison.MaxBodyPrefix - len(b.prefix); missing > 0 {
		b.prefix = append(b.prefix, p[:min(len(p), missing)]...)
	}
}

func (b *replayBody) appendBuffered(p []byte) {
	if b.overflowed {
		return
	}
	if len(b.buffered)+len(p) > maxReplayBytes {
		b.overflowed, b.buffered = true, nil
		return
	}
	b.buffered = append(b.buffered, p...)
}

// Close implements io.Closer.
func (a *attemptBody) Close() error { return nil }
