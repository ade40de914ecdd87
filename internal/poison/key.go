// Package poison finds requests under which upstreams end ("queries of death") and keeps
// them from further upstreams.
//
// A caller that gets no answer sends its request again, with another id and mostly to
// another entry, so that limits on the attempts of one request do not stop it. A Tracker
// remembers which requests were under way when an upstream ended, and entries tell each
// other (package inflight). It does no I/O and reads no clock.
package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key names what a request is, whatever id it has: the hash of its parts.
type Key uint64

// Request is what makes two requests the same.
type Request struct {
	Method, Host string
	// Target is the path with the query, as the caller wrote it.
	Target string
	// Object is what the request is about, if it says so.
	Object string
	// Caller names who sends it. Callers that share an address are taken for one.
	Caller string
	// Length is that of the body in bytes, -1 if it is not known beforehand.
	Length int64
}

// Keys names a request twice: as that of anybody, and as that of its caller. A fault may
// lie in what all callers ask for, or only in what one of them may see. Of a path that
// everybody asks for, the answers to others must not speak for the one caller whose
// requests end upstreams; nor may a caller with many addresses go unseen.
type Keys struct{ AnyCaller, Caller Key }

// All returns both keys, that of the caller first: if the ends are of one caller's making,
// it alone is to be held.
func (k Keys) All() [2]Key { return [2]Key{k.Caller, k.AnyCaller} }

// HeadKeys returns the keys without the body, which are known before any of it is read.
func (r *Request) HeadKeys() Keys {
	d := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target, r.Object} {
		writePart(d, s)
	}
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(r.Length))
	_, _ = d.Write(length[:])
	anyone := d.Sum64()
	writePart(d, r.Caller)
	return Keys{Key(anyone), Key(d.Sum64())}
}

// writePart adds a part with its length, so that no two lists of parts look alike. A
// Digest never fails.
func writePart(d *xxhash.Digest, s string) {
	var n [4]byte
	binary.LittleEndian.PutUint32(n[:], uint32(len(s)))
	_, _ = d.Write(n[:])
	_, _ = d.WriteString(s)
}

// MaxBodyPrefix is how many bytes of a body belong to the keys. More would have to be kept,
// or read before it is known whether to send the request at all; two requests that differ
// only beyond it are taken for the same.
const MaxBodyPrefix = 4 << 10

// WithBody returns the keys of a request whose body begins with a prefix.
func (k Keys) WithBody(prefix []byte) Keys {
	if len(prefix) == 0 {
		return k
	}
	body := xxhash.Sum64(prefix[:min(len(prefix), MaxBodyPrefix)])
	return Keys{mix(k.AnyCaller, body), mix(k.Caller, body)}
}

// mix joins a key with another hash.
func mix(k Key, h uint64) Key {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(k))
	binary.LittleEndian.PutUint64(b[8:], h)
	return Key(xxhash.Sum64(b[:]))
}
