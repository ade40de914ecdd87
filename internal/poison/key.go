// Package poison detects requests that crash upstreams ("queries of death") and holds them:
// a held request is refused instead of being sent to further upstreams.
//
// A caller that receives no response sends its request again, with another ID and mostly to
// another entry, so that a limit on the attempts of one request does not stop it. A Tracker
// records which requests were in flight when an upstream crashed, and entries exchange these
// records (package inflight). The package does no I/O and reads no clock.
package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key identifies equal requests, whatever their IDs: it is a hash of the parts of a request.
type Key uint64

// Request holds the parts of a request that its keys are computed from.
type Request struct {
	Method, Host string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Object names what the request is about, if the request states it.
	Object string
	// Caller identifies the sender. Callers that share an address are treated as one.
	Caller string
	// Length is the length of the body in bytes, -1 if it is not known in advance.
	Length int64
}

// Keys holds two keys of a request: AnyCaller is the same for all callers, Caller includes the
// caller. A fault may lie in what all callers request, or in data that only one of them has
// access to. With the first key alone, responses to other callers of a popular path would clear
// the one caller whose requests crash upstreams. With the second alone, a caller with many
// addresses would go undetected.
type Keys struct{ AnyCaller, Caller Key }

// All returns both keys, that of the caller first: if only one caller's requests cause the
// crashes, only that caller is to be held.
func (k Keys) All() [2]Key { return [2]Key{k.Caller, k.AnyCaller} }

// HeadKeys returns the keys without the body, which can be computed before any of it is read.
func (r *Request) HeadKeys() Keys {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target, r.Object} {
		writePart(d, s)
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(r.Length))
	_, _ = d.Write(length[:])
	anyCaller := d.Sum64()
	writePart(d, r.Caller)
	return Keys{Key(anyCaller), Key(d.Sum64())}
}

// writePart adds a part, preceded by its length so that different lists of parts have different
// encodings. A Digest returns no errors.
func writePart(d *xxhash.Digest, s string) {
	var n [4]byte
	binary.LittleEndian.PutUint32(n[:], uint32(len(s)))
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(s)
}

// MaxBodyPrefix is the number of bytes at the start of a body that the keys include. More would
// have to be buffered, or read before it is decided whether to send the request at all. Two
// requests that differ only beyond the prefix have the same keys.
const MaxBodyPrefix = 4 << 10

// WithBody returns the keys of a request whose body starts with prefix. Bytes of prefix beyond
// MaxBodyPrefix are ignored.
func (k Keys) WithBody(prefix []byte) Keys {
	if len(prefix) == 0 {
		return k
	}
	body := xxhash.Sum64(prefix[:min(len(prefix), MaxBodyPrefix)])
	return Keys{mix(k.AnyCaller, body), mix(k.Caller, body)}
}

// mix combines a key with another hash.
func mix(k Key, h uint64) Key {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(k))
	binary.LittleEndian.PutUint64(b[8:], h)
	return Key(xxhash.Sum64(b[:]))
}
