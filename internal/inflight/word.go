package inflight

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/poison"
)

// Fields of the encoding of a poison.Word.
const (
	fieldKey      = 1
	fieldHead     = 2
	fieldVoter    = 3
	fieldStrikes  = 4
	fieldHeldLeft = 5
	fieldAnswered = 6
	fieldHeldAge  = 7
)

const (
	// maxWords is how many Words one report has, so that it fits a datagram; one takes up
	// to 68 bytes.
	maxWords = 20
	// wordsPerRound is how many Words are told in one far period. With a hundred requests
	// that end upstreams, which have two keys each, each is told within 2 s.
	wordsPerRound = 3 * maxWords
	// maxWordStrikes bounds the strikes that are taken from one Word.
	maxWordStrikes = 8
	// maxWordTime bounds the times of a Word in milliseconds.
	maxWordTime = 2 * 60 * 60 * 1000
)

// appendWord adds the encoding of a Word. Times are in whole milliseconds.
func appendWord(b []byte, w *poison.Word) []byte {
	b = protowire.AppendTag(b, fieldKey, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(w.Key))
	if w.Head != w.Key {
		b = protowire.AppendTag(b, fieldHead, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, uint64(w.Head))
	}
	b = protowire.AppendTag(b, fieldVoter, protowire.Fixed32Type)
	b = protowire.AppendFixed32(b, w.Voter)
	if len(w.Strikes) > 0 {
		var strikes []byte
		for _, s := range w.Strikes {
			strikes = protowire.AppendFixed32(strikes, s.Upstream)
			strikes = protowire.AppendVarint(strikes, millis(s.Age))
		}
		b = protowire.AppendTag(b, fieldStrikes, protowire.BytesType)
		b = protowire.AppendBytes(b, strikes)
	}
	if w.HeldLeft > 0 {
		b = protowire.AppendTag(b, fieldHeldLeft, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(w.HeldLeft))
		b = protowire.AppendTag(b, fieldHeldAge, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(w.HeldAge))
	}
	if w.Answered {
		b = protowire.AppendTag(b, fieldAnswered, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(w.AnsweredAge))
	}
	return b
}

func millis(d time.Duration) uint64 { return uint64(max(0, min(d.Milliseconds(), maxWordTime))) }

// decodeWord reads what appendWord wrote. Unknown fields are passed over.
func decodeWord(b []byte) (poison.Word, error) {
	var w poison.Word
	var key, head, heldLeft, heldAge, answered uint64
	var strikes []byte
	hasHead := false
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return w, errMalformed
		}
		b = b[n:]
		switch {
		case field == fieldKey && kind == protowire.Fixed64Type:
			key, n = protowire.ConsumeFixed64(b)
		case field == fieldHead && kind == protowire.Fixed64Type:
			head, n = protowire.ConsumeFixed64(b)
			hasHead = true
		case field == fieldVoter && kind == protowire.Fixed32Type:
			w.Voter, n = protowire.ConsumeFixed32(b)
		case field == fieldStrikes && kind == protowire.BytesType:
			strikes, n = protowire.ConsumeBytes(b)
		case field == fieldHeldLeft && kind == protowire.VarintType:
			heldLeft, n = protowire.ConsumeVarint(b)
		case field == fieldHeldAge && kind == protowire.VarintType:
			heldAge, n = protowire.ConsumeVarint(b)
		case field == fieldAnswered && kind == protowire.VarintType:
			answered, n = protowire.ConsumeVarint(b)
			w.Answered = true
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return w, errMalformed
		}
		b = b[n:]
	}
	if heldLeft > maxWordTime || heldAge > maxWordTime || answered > maxWordTime {
		return w, errMalformed
	}
	w.Key, w.Head = poison.Key(key), poison.Key(key)
	if hasHead {
		w.Head = poison.Key(head)
	}
	w.HeldLeft, w.HeldAge = time.Duration(heldLeft)*time.Millisecond, time.Duration(heldAge)*time.Millisecond
	w.AnsweredAge = time.Duration(answered) * time.Millisecond
	return w, decodeStrikes(strikes, &w)
}

func decodeStrikes(b []byte, w *poison.Word) error {
	for len(b) > 0 {
		upstream, n := protowire.ConsumeFixed32(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		age, n := protowire.ConsumeVarint(b)
		if n < 0 || age > maxWordTime || len(w.Strikes) == maxWordStrikes {
			return errMalformed
		}
		b = b[n:]
		w.Strikes = append(w.Strikes, poison.Strike{Upstream: upstream, Age: time.Duration(age) * time.Millisecond})
	}
	return nil
}
