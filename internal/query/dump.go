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
	// dumpTimeout bounds the dump of one process.
	dumpTimeout = 2 * time.Second
	// maxDump bounds a dump in bytes.
	maxDump = 64 << 20
)

// DumpRoutes adds the dump of all processes of the instance. Others are the
// debug addresses of the processes beside the agent, by name.
func DumpRoutes(r chi.Router, others map[string]string, agent func() any) {
	r.Get("/v1/dump", func(w http.ResponseWriter, req *http.Request) {
		out := map[string]any{"agent": agent()}
		for name, addr := range others {
			out[name] = fetchDump(req.Context(), addr)
		}
		process.WriteJSON(w, http.StatusOK, out)
	})
}

// dumpError stands in the place of a dump that could not be had.
type dumpError struct {
	Error string `json:"error"`
}

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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDump)).Decode(&v); err != nil {
		return dumpError{err.Error()}
	}
	return v
}
