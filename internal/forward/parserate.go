package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

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

// MayAskForBackoff reports whether the Retry-After field of a response is meant for the entry: the
// upstream turned the request away, and not because of the limit that the response states, which the
// entries keep by themselves.
func MayAskForBackoff(resp *http.Response, limit balance.RateLimit) bool {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		return true
	case http.StatusTooManyRequests:
		return !limit.Known || limit.PerSecond == ratelimit.Unlimited
	}
	return false
}

// ParseBackoff returns the time in a response's Retry-After field for which its upstream wants no
// requests from this entry: the longest of several values. If a value is neither a decimal number of
// seconds nor a date, the response asks for nothing: ok is false and value is the invalid field value.
func ParseBackoff(resp *http.Response) (backoff time.Duration, value string, ok bool) {
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

// maxBackoffSeconds bounds a number of seconds in Retry-After, to those that a time.Duration can hold.
const maxBackoffSeconds = 1e9

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
