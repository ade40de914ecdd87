package forward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// ParseRate reads an upstream limit, in requests per second, from a header field of
// its response. It returns the lowest of several values, and ratelimit.Unlimited if the field
// is absent. If a value is not a decimal number, the response says nothing about a limit: ok is
// false and value is the invalid field value. A field in the trailer says nothing either, but
// ok is true.
func ParseRate(resp *http.Response, field string) (limit balance.RateLimit, value string, ok bool) {
	if _, inTrailer := resp.Trailer[field]; inTrailer {
		return balance.RateLimit{}, "", true
	}
	limit = balance.RateLimit{Known: true, PerSecond: ratelimit.Unlimited}
	for _, value = range resp.Header[field] {
		for text := range strings.SplitSeq(value, ",") {
			v, ok := decimal(strings.TrimSpace(text))
			if !ok {
				return balance.RateLimit{}, value, false
			}
			limit.PerSecond = min(limit.PerSecond, v)
		}
	}
	return limit, value, true
}

// maxDecimal is the largest length in bytes of a decimal number.
const maxDecimal = 32

// decimal parses a number of at least 0, with or without a fraction or an exponent.
func decimal(s string) (float64, bool) {
	if len(s) > maxDecimal || strings.Trim(s, "0123456789.eE+-") != "" || strings.HasPrefix(s, "-") {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil
}
