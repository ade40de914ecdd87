package inflight

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/poison"
)

// Fields of the encoding of a poison.Claim.
const (
	fieldKey      = 1
	fieldHead     = 2
	fieldSource   = 3
	fieldCrashes  = 4
	fieldHeldLeft = 5
	fieldAnswered = 6
	fieldHeldAge  = 7
)

const (
	// maxClaims is how many Claims one report has, so that it fits a datagram; one takes up
	// to 68 bytes.
	maxClaims = 20
	// claimsPerRound is how many Claims are told in one far period. With a hundred requests
	// that end upstreams, which have two keys each, each is told within 2 s.
	claimsPerRound = 3 * maxClaims
	// maxClaimCrashes bounds the crashes that are taken from one Claim.
	maxClaimCrashes = 8
	// maxClaimTime bounds the times of a Claim in milliseconds.
	maxClaimTime = 2 * 60 * 60 * 1000
)

// appendClaim adds the encoding of a Claim. Times are in whole milliseconds.
func appendClaim(b []byte, w *poison.Claim) []byte {
	b = protowire.AppendTag(b, fieldKey, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(w.Key))
	if w.Head != w.Key {
		b = protowire.AppendTag(b, fieldHead, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, uint64(w.Head))
	}
	b = protowire.AppendTag(b, fieldSource, protowire.Fixed32Type)
	b = protowire.AppendFixed32(b, w.Source)
	if len(w.Crashes) > 0 {
		var crashes []byte
		for _, s := range w.Crashes {
			crashes = protowire.AppendFixed32(crashes, s.Upstream)
			crashes = protowire.AppendVarint(crashes, millis(s.Age))
		}
		b = protowire.AppendTag(b, fieldCrashes, protowire.BytesType)
		b = protowire.AppendBytes(b, crashes)
	}
	if w.HoldRemaining > 0 {
		b = protowire.AppendTag(b, fieldHeldLeft, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(w.HoldRemaining))
		b = protowire.AppendTag(b, fieldHeldAge, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(w.HoldAge))
	}
	if w.Answered {
		b = protowire.AppendTag(b, fieldAnswered, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(w.AnsweredAge))
	}
	return b
}

func millis(d time.Duration) uint64 { return uint64(max(0, min(d.Milliseconds(), maxClaimTime))) }

// decodeClaim reads what appendClaim wrote. Unknown fields are passed over.
func decodeClaim(b []byte) (poison.Claim, error) {
	var w poison.Claim
	var key, head, heldLeft, heldAge, answered uint64
	var crashes []byte
	hasHead := false
	err := eachField(b, func(field protowire.Number, kind protowire.Type, b []byte) (n int) {
		switch {
		case field == fieldKey && kind == protowire.Fixed64Type:
			key, n = protowire.ConsumeFixed64(b)
		case field == fieldHead && kind == protowire.Fixed64Type:
			head, n = protowire.ConsumeFixed64(b)
			hasHead = true
		case field == fieldSource && kind == protowire.Fixed32Type:
			w.Source, n = protowire.ConsumeFixed32(b)
		case field == fieldCrashes && kind == protowire.BytesType:
			crashes, n = protowire.ConsumeBytes(b)
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
		return n
	})
	if err != nil {
		return w, err
	}
	if heldLeft > maxClaimTime || heldAge > maxClaimTime || answered > maxClaimTime {
		return w, errMalformed
	}
	w.Key, w.Head = poison.Key(key), poison.Key(key)
	if hasHead {
		w.Head = poison.Key(head)
	}
	w.HoldRemaining, w.HoldAge = time.Duration(heldLeft)*time.Millisecond, time.Duration(heldAge)*time.Millisecond
	w.AnsweredAge = time.Duration(answered) * time.Millisecond
	return w, decodeCrashes(crashes, &w)
}

func decodeCrashes(b []byte, w *poison.Claim) error {
	var upstream uint32
	var age [1]uint64
	var err error
	for len(b) > 0 {
		if upstream, b, err = consumeHash(b); err != nil {
			return err
		}
		if b, err = consumeVarints(b, age[:]); err != nil {
			return err
		}
		if age[0] > maxClaimTime || len(w.Crashes) == maxClaimCrashes {
			return errMalformed
		}
		w.Crashes = append(w.Crashes, poison.Crash{Upstream: upstream, Age: time.Duration(age[0]) * time.Millisecond})
	}
	return nil
}
