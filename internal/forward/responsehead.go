package forward

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// errMalformed means that an upstream sent an invalid HTTP/1 response.
var errMalformed = errors.New("forward: malformed response")

// checkHead checks the head of a response for what RFC 9110 and 9112 rule out and http.ReadResponse accepts. head
// is the head as it was received. It returns errMalformed with the reason.
func checkHead(resp *http.Response, head []byte) error {
	return cmp.Or(checkStatusLine(resp), checkFieldNames(resp.Header), checkOptions(resp.Header), checkFraming(resp, head))
}

// checkStatusLine checks the version, the status code and the reason phrase (RFC 9112, section 4). Status 101 is
// invalid too, since no request asks for another protocol.
func checkStatusLine(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return fmt.Errorf("%w: version %s", errMalformed, resp.Proto)
	case resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status code %03d", errMalformed, resp.StatusCode)
	case hasControl(resp.Status):
		return fmt.Errorf("%w: reason phrase %q", errMalformed, resp.Status)
	}
	return nil
}

// checkFieldNames checks the names of the fields in a header or a trailer. Other recipients would take a name with a
// blank before the colon for the field itself, such as Transfer-Encoding (RFC 9112, section 5.1).
func checkFieldNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return fmt.Errorf("%w: field name %q", errMalformed, name)
		}
	}
	return nil
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for _, c := range []byte(text) {
		alphanumeric := '0' <= c && c <= '9' || 'A' <= c && c <= 'Z' || 'a' <= c && c <= 'z'
		if !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}

// checkOptions checks that no connection option names a field that describes the content, which is meant for all
// recipients (RFC 9110, section 7.6.1). Callers would misread the body without it.
func checkOptions(fields http.Header) error {
	for name := range connectionOptions(fields) {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), "Content-") {
			return fmt.Errorf("%w: connection option %q", errMalformed, name)
		}
	}
	return nil
}

// checkFraming checks that a transfer coding stands neither beside a length nor in a version without codings:
// recipients differ in where such a body ends (RFC 9112, section 6.1). It uses the received head, since
// http.ReadResponse removes the fields.
func checkFraming(resp *http.Response, head []byte) error {
	if !hasField(head, "Transfer-Encoding") {
		return nil
	}
	if !resp.ProtoAtLeast(1, 1) {
		return fmt.Errorf("%w: Transfer-Encoding in %s", errMalformed, resp.Proto)
	}
	if hasField(head, "Content-Length") {
		return fmt.Errorf("%w: Transfer-Encoding and Content-Length", errMalformed)
	}
	return nil
}

// hasField reports whether a head, whose field names are valid, has a field with a name.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		if len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(string(line[:len(name)]), name) {
			return true
		}
	}
	return false
}

// hasControl reports whether a text has a control character other than a tab.
func hasControl(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
