package forward

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// unframedResponse returns a response that ends with its connection.
func unframedResponse(body io.Reader) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Header: http.Header{}, Body: io.NopCloser(body), Request: &http.Request{Method: http.MethodGet}}
}

// TestUnframedResponseIsHeldWithinTheBound reads responses without a length. At most
// maxBufferedResponse bytes of each may be held, and none beyond the memory for bodies.
func TestUnframedResponseIsHeldWithinTheBound(t *testing.T) {
	for _, tt := range []struct {
		size     int
		limit    int64
		buffered bool
	}{
		{1000, 1 << 20, true},
		{maxBufferedResponse, 1 << 20, true},
		{maxBufferedResponse + 1, 1 << 20, false},
		{8 << 20, 1 << 20, false},
		{1000, 100, false},
		{8 << 20, 100, false},
	} {
		p := &Proxy{buffers: buffers{limit: tt.limit}}
		sent := strings.NewReader(strings.Repeat("x", tt.size))
		res, err := p.readResponse(t.Context(), &call{}, unframedResponse(sent))
		if err != nil {
			t.Fatal(err)
		}
		read := tt.size - sent.Len()
		if res.buffered != tt.buffered || read > maxBufferedResponse+1 || !tt.buffered && tt.limit < maxBufferedResponse && read > 0 {
			t.Errorf("%d bytes, limit %d: buffered %v, %d bytes read", tt.size, tt.limit, res.buffered, read)
		}
		w := httptest.NewRecorder()
		n, werr := res.writeTo(w, Native{}, &call{body: &replayBody{}})
		if n != int64(tt.size) || werr != nil || w.Body.Len() != tt.size {
			t.Errorf("%d bytes: %d sent, %v", tt.size, n, werr)
		}
		res.release()
		if held := p.buffers.held.Load(); held != 0 {
			t.Errorf("%d bytes: %d bytes stay reserved", tt.size, held)
		}
	}
}

// TestBrokenUnframedResponseIsNotComplete breaks responses without a length off. A short one must be an
// error, a long one must end with an error after the bytes that were sent.
func TestBrokenUnframedResponseIsNotComplete(t *testing.T) {
	broken := errors.New("connection reset")
	for _, size := range []int{1000, 8 << 20} {
		p := &Proxy{buffers: buffers{limit: 1 << 20}}
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", size)), &failingReader{broken})
		res, verr := p.readResponse(t.Context(), &call{}, unframedResponse(body))
		if size <= maxBufferedResponse {
			if verr == nil || p.buffers.held.Load() != 0 {
				t.Errorf("%d bytes: error %v, %d bytes stay reserved", size, verr, p.buffers.held.Load())
			}
			continue
		}
		if verr != nil {
			t.Fatal(verr)
		}
		if _, err := res.writeTo(httptest.NewRecorder(), Native{}, &call{body: &replayBody{}}); !errors.Is(err, broken) {
			t.Errorf("%d bytes: sent with error %v, want %v", size, err, broken)
		}
	}
}

// failingReader returns an error.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r *failingReader) Read([]byte) (int, error) { return 0, r.err }
