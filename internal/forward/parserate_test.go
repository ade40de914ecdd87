package forward

import (
	"net/http"
	"testing"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// TestNativeRateLimitHeader checks that only a decimal number sets a rate limit, that only a
// missing field means that there is none, and that responses to other requests are ignored.
func TestNativeRateLimitHeader(t *testing.T) {
	none, unknown := balance.RateLimit{Known: true, PerSecond: ratelimit.Unlimited}, balance.RateLimit{}
	for _, tt := range []struct {
		name   string
		fields []string
		status int
		echo   string
		want   balance.RateLimit
	}{
		{"absent", nil, http.StatusOK, "", none},
		{"a number", []string{"2.5"}, http.StatusOK, "r1", balance.RateLimit{Known: true, PerSecond: 2.5}},
		{"shed", []string{"2.5"}, http.StatusTooManyRequests, "", balance.RateLimit{Known: true, PerSecond: 2.5}},
		{"infinite", []string{"Inf"}, http.StatusOK, "", unknown},
		{"hexadecimal", []string{"0x1p4"}, http.StatusOK, "", unknown},
		{"response to another request", []string{"2.5"}, http.StatusOK, "r2", unknown},
		{"absent, response to another request", nil, http.StatusOK, "r2", unknown},
	} {
		resp := &http.Response{StatusCode: tt.status, Header: http.Header{}, Request: &http.Request{Method: http.MethodGet}}
		if tt.fields != nil {
			resp.Header[header.RateLimit] = tt.fields
		}
		if tt.echo != "" {
			resp.Header.Set(header.RequestID, tt.echo)
		}
		svc := &model.Service{NotRunStatuses: []int{http.StatusTooManyRequests}}
		if got := (Native{}).ParseResponse(resp, &RequestInfo{ID: "r1"}, svc).Limit; got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
