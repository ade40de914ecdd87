package node

import (
	"net/http"

	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/model"
)

// routedProtocol selects the route of a request by its path.
type routedProtocol struct{ forward.Native }

// ParseRequest implements forward.Protocol.
func (routedProtocol) ParseRequest(r *http.Request, snap *model.Snapshot) (forward.RequestInfo, *forward.RequestError) {
	info := forward.RequestInfo{Route: snap.Routes.Match(r.Host, r.URL.Path), Idempotent: true}
	if info.Route == nil {
		return info, &forward.RequestError{Status: http.StatusNotFound, Reason: "no-route"}
	}
	return info, nil
}
