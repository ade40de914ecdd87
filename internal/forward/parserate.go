package forward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// ParseRate reads the limit that an upstream names for itself in a field of an answer: the lowest,
// if it names several. A field that is no decimal number says nothing, neither that there is a
// limit nor that there is none; then ok is false and value is the field's. One in the trailer says
// nothing either.
func ParseRate(resp *http.Response, field string) (rate balance.RateLimit, value string, ok bool) {
	if _, inTrailer := resp.Trailer[field]; inTrailer {
		return balance.RateLimit{}, "", true
	}
	rate = balance.RateLimit{Known: true, PerSecond: ratelimit.Unlimited}
	for _, value = range resp.Header[field] {
		for text := range strings.SplitSeq(value, ",") {
			v, ok := decimal(strings.TrimSpace(text))
			if !ok {
				return balance.RateLimit{}, value, false
			}
			rate.PerSecond = min(rate.PerSecond, v)
		}
	}
	return rate, value, true
}

// maxDecimal bounds the length of a decimal number in bytes.
const maxDecimal = 32

// decimal reads a number from 0, with or without a fraction or an exponent.
func decimal(s string) (float64, bool) {
	if len(s) > maxDecimal || strings.Trim(s, "0123456789.eE+-") != "" || strings.HasPrefix(s, "-") {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil
}
