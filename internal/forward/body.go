package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
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
	// request body, and maxDrainBytes the longest rest that it waits for. If the rest arrives in
	// time, the caller's connection stays open.
	unreadBodyTimeout = 50 * time.Millisecond
	maxDrainBytes     = 256 << 10
	// lingerTimeout is how long the rest of a body is read after a response that closes the
	// connection.
	lingerTimeout = 5 * time.Second
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
	// memory counts the memory of buffered.
	memory  *buffers
	current *attemptBody
	// released is set at the end of the request.
	released atomic.Bool
	// ended is set once the end of the body was read.
	ended atomic.Bool
	// interrupted is set once reads fail because the context of the call has ended, and
	// cancelInterrupt prevents that; see interruptRead.
	interrupted     atomic.Bool
	cancelInterrupt func()

	// prefixMu guards prefix. It is separate because mu is held for as long as a read from the
	// caller blocks.
	prefixMu sync.Mutex
	// prefix is the beginning of the body, up to poison.MaxBodyPrefix bytes. It is kept even if
	// the body is too long to be buffered.
	prefix []byte
}

func newReplayBody(r *http.Request, memory *buffers) *replayBody {
	return &replayBody{src: r.Body, length: r.ContentLength, memory: memory, cancelInterrupt: func() {}}
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
	defer b.unlock()
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
	n, err := b.readSource(p)
	a.pos += n
	return n, err
}

// readSource reads from the caller and keeps what may be needed again. b.mu must be held.
func (b *replayBody) readSource(p []byte) (int, error) {
	n, err := b.src.Read(p)
	b.err = err
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	b.appendPrefix(p[:n])
	b.appendBuffered(p[:n])
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
	defer b.unlock()
	buf := make([]byte, poison.MaxBodyPrefix)
	for b.err == nil {
		prefix, complete := b.prefixRead()
		if complete {
			return nil
		}
		// b.err keeps the error.
		_, _ = b.readSource(buf[:poison.MaxBodyPrefix-len(prefix)])
	}
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// readAhead reads from the caller until the body is complete or no more of it can be kept, at most for a
// time. Reads that take longer are interrupted, and the caller's connection cannot be used again.
func (b *replayBody) readAhead(w http.ResponseWriter, longest time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.readKept()
	}()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	}
	b.interrupted.Store(true)
	if setReadDeadline(w, pastTime) {
		<-done
	}
}

// readKept reads from the caller as long as what it reads can be kept.
func (b *replayBody) readKept() {
	b.mu.Lock()
	defer b.unlock()
	buf := make([]byte, 4<<10)
	for b.err == nil && !b.overflowed && len(b.buffered)+len(buf) <= maxReplayBytes {
		// b.err keeps the error.
		_, _ = b.readSource(buf)
	}
}

// pastTime is used as a deadline that has already passed.
var pastTime = time.Unix(1, 0)

// interruptRead makes reads of the caller's body fail once ctx ends, so that a stalled upload
// ends at its deadline. The returned function cancels this; it must be called before the handler
// returns, and may be called several times.
func (b *replayBody) interruptRead(ctx context.Context, w http.ResponseWriter) (cancel func()) {
	if b.length == 0 {
		return b.cancelInterrupt
	}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		if b.complete() {
			return
		}
		b.interrupted.Store(true)
		setReadDeadline(w, pastTime)
	})
	b.cancelInterrupt = sync.OnceFunc(func() {
		if !stop() {
			<-done
		}
	})
	return b.cancelInterrupt
}

// complete reports whether the body was read to its end, without an interrupt. Only then may the
// caller's connection be reused: net/http would take the rest of a body for the next request, and
// a connection on which it waits for the next request must not get a read deadline.
func (b *replayBody) complete() bool {
	return b.length == 0 || b.ended.Load() && !b.interrupted.Load()
}

// closeUnlessComplete makes the response to r close the caller's connection, unless the rest of the
// request body arrives within unreadBodyTimeout. Without that header net/http reads the rest of the
// body before it writes the response, so a caller that has stopped sending would get none. body is
// nil if nothing was read yet.
func closeUnlessComplete(w http.ResponseWriter, r *http.Request, body *replayBody) {
	if r.ContentLength == 0 || body != nil && body.complete() {
		return
	}
	if !body.stopInterrupt() && drain(w, r.Body) {
		return
	}
	w.Header().Set("Connection", "close")
	// net/http reads on after the response, so that a caller that goes on sending receives it.
	setReadDeadline(w, time.Now().Add(lingerTimeout))
}

// stopInterrupt cancels interruptRead and reports whether reads were interrupted before.
func (b *replayBody) stopInterrupt() bool {
	if b == nil {
		return false
	}
	b.cancelInterrupt()
	return b.interrupted.Load()
}

// drain reads at most maxDrainBytes of a request body within unreadBodyTimeout and reports whether
// that reached the end of the body.
func drain(w http.ResponseWriter, body io.Reader) bool {
	done := make(chan error, 1)
	go func() {
		_, err := io.CopyN(io.Discard, body, maxDrainBytes)
		done <- err
	}()
	timer := time.NewTimer(unreadBodyTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return errors.Is(err, io.EOF)
	case <-timer.C:
	}
	if setReadDeadline(w, pastTime) {
		<-done
	}
	return false
}

// setReadDeadline sets the deadline for reads from the caller. It returns false if w does not
// support deadlines.
func setReadDeadline(w http.ResponseWriter, deadline time.Time) bool {
	err := http.NewResponseController(w).SetReadDeadline(deadline)
	if err != nil {
		klog.V(1).InfoS("setting the deadline for reads of a request body failed", "err", err)
	}
	return err == nil
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
	if len(b.buffered)+len(p) > maxReplayBytes || !b.memory.reserve(int64(len(p))) {
		b.dropBuffered()
		return
	}
	b.buffered = append(b.buffered, p...)
}

// dropBuffered drops what was kept for a retry and returns its memory. b.mu must be held.
func (b *replayBody) dropBuffered() {
	b.memory.release(int64(len(b.buffered)))
	b.overflowed, b.buffered = true, nil
}

// release returns the memory of the body. It is called at the end of the request. A read that is
// still in progress, of which the connection pool has not noticed yet that it is of no use, returns
// the memory when it ends.
func (b *replayBody) release() {
	b.released.Store(true)
	b.dropIfReleased()
}

// unlock unlocks mu after a read.
func (b *replayBody) unlock() {
	b.mu.Unlock()
	b.dropIfReleased()
}

// dropIfReleased drops what was kept if the request has ended and no read is in progress.
func (b *replayBody) dropIfReleased() {
	if b.released.Load() && b.mu.TryLock() {
		b.dropBuffered()
		b.mu.Unlock()
	}
}

// Close implements io.Closer.
func (a *attemptBody) Close() error { return nil }
