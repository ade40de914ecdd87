package pipeline

import (
	"net/http"
	"strings"
)

// streamKey is the key of the context value that holds the connection of a request.
type streamKey struct{}

// stream is a connection that a request is served on: a conn or a lane.
type stream interface {
	// answered is called when a request was answered and the connection may be used further.
	answered()
	// keepOpen reports whether requests behind the one in progress are being served. If not, none
	// will be, because the answer closes the connection.
	keepOpen() bool
	// serveNoMore has no further requests served behind the one in progress until its answer has been
	// written. It reports whether some are being served already.
	serveNoMore() (behind bool)
	// ended reports whether the connection ends without an answer to the request.
	ended() bool
}

// BeginStream is called by a handler before it sends an answer that may break off, which ends the
// connection. It reports whether requests behind this one are being served, whose answers would be
// lost. If there are none, none are served until the answer has been written.
func BeginStream(w http.ResponseWriter) (behind bool) {
	rw, ok := w.(*responseWriter)
	return ok && rw.stream.serveNoMore()
}

// serve has the handler h serve a request, unless the connection has ended since the request was read.
// Callers may take the end for a sign that nothing was done.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	st, ok := r.Context().Value(streamKey{}).(stream)
	if !ok {
		h.ServeHTTP(w, r)
		return
	}
	if st.ended() {
		panic(http.ErrAbortHandler)
	}
	if c, ok := st.(*conn); ok {
		c.begin(r)
		defer c.handled()
	}
	if !safe(r) {
		h.ServeHTTP(w, r)
		return
	}
	rw := &responseWriter{ResponseWriter: w, stream: st}
	h.ServeHTTP(rw, r)
	rw.prepare()
}

// responseWriter takes back the wish of a handler to close the connection if that would cut off
// requests behind that are being served. The last of their answers closes it.
type responseWriter struct {
	http.ResponseWriter
	stream   stream
	prepared bool
}

// Unwrap is for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.prepare()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.prepare()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.prepare()
	// An error closes the connection, and the next write fails.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *responseWriter) prepare() {
	if w.prepared {
		return
	}
	w.prepared = true
	if strings.EqualFold(w.Header().Get("Connection"), "close") && w.stream.keepOpen() {
		w.Header().Del("Connection")
	}
}
