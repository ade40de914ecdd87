package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// maxBackoffSeconds bounds a number of seconds in Retry-After, to those that a time.Duration can hold.
const maxBackoffSeconds = 1e9

// ParseBackoff returns the time in a response's Retry-After field for which its upstream wants no
// requests from this entry: the longest of several values. If a value is neither a decimal number of
// seconds nor a date, the response asks for nothing: ok is false and value is the invalid field value.
// The field is ignored unless the upstream turned the request away, and for another reason than the
// limit that the response states, which the entries keep by themselves.
func ParseBackoff(resp *http.Response, limit balance.RateLimit) (backoff time.Duration, value string, ok bool) {
	limited := limit.Known && limit.PerSecond < ratelimit.Unlimited
	if resp.StatusCode != http.StatusServiceUnavailable && (resp.StatusCode != http.StatusTooManyRequests || limited) {
		return 0, "", true
	}
	for _, value = range resp.Header["Retry-After"] {
		d, ok := retryAfter(value, resp.Header.Get("Date"))
		if !ok {
			return 0, value, false
		}
		backoff = max(backoff, d)
	}
	return backoff, value, true
}

// retryAfter parses a value of Retry-After: a date, which counts from the Date field of the
// response, or numbers of seconds separated by commas, of which it returns the largest.
func retryAfter(value, date string) (time.Duration, bool) {
	if at, err := http.ParseTime(value); err == nil {
		from, err := http.ParseTime(date)
		return max(0, at.Sub(from)), err == nil
	}
	seconds := 0.0
	for text := range strings.SplitSeq(value, ",") {
		v, ok := decimal(strings.TrimSpace(text))
		if !ok {
			return 0, false
		}
		seconds = max(seconds, v)
	}
	return time.Duration(min(seconds, maxBackoffSeconds) * float64(time.Second)), true
}
