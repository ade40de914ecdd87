package query

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/loomkeel/loomkeel/internal/process"
)

const (
	// dumpTimeout bounds the request for the dump of one process.
	dumpTimeout = 2 * time.Second
	// maxDumpBytes bounds the dump of one process. A longer dump is truncated, and
	// reported as a dumpError because it is no longer valid JSON.
	maxDumpBytes = 64 << 20
)

// AddDumpRoute adds the route GET /v1/dump to a router. Its response body holds the
// dumps of all processes of the instance by name, with an error in place of a dump
// that could not be fetched. agent returns the agent's dump; others holds the debug
// addresses of the other processes by name.
func AddDumpRoute(r chi.Router, others map[string]string, agent func() any) {
	r.Get("/v1/dump", func(w http.ResponseWriter, req *http.Request) {
		out := map[string]any{"agent": agent()}
		for name, addr := range others {
			out[name] = fetchDump(req.Context(), addr)
		}
		process.WriteJSON(w, http.StatusOK, out)
	})
}

// dumpError stands in the response body for a dump that could not be fetched.
type dumpError struct {
	Error string `json:"error"`
}

// fetchDump returns the dump of the process whose debug address is addr, or a
// dumpError.
func fetchDump(ctx context.Context, addr string) any {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/debug/state", nil)
	if err != nil {
		return dumpError{err.Error()}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return dumpError{err.Error()}
	}
	defer resp.Body.Close()
	var v json.RawMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDumpBytes)).Decode(&v); err != nil {
		return dumpError{err.Error()}
	}
	return v
}
