package inflight

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/poison"
)

// Field numbers of the encoding of a poison.Claim, a protobuf message.
const (
	fieldKey           = 1
	fieldHead          = 2
	fieldSource        = 3
	fieldCrashes       = 4
	fieldHoldRemaining = 5
	fieldResponseAge   = 6
	fieldHoldAge       = 7
)

const (
	// maxClaims is the largest number of Claims in one report, so that the report fits a
	// datagram; a Claim takes up to 68 bytes.
	maxClaims = 20
	// claimsPerRound is the number of Claims sent in one remotePeriod. With a hundred
	// requests that crash upstreams, each of which has two keys, every Claim is sent
	// within 2 s.
	claimsPerRound = 3 * maxClaims
	// maxClaimCrashes bounds the crashes accepted from one Claim.
	maxClaimCrashes = 8
	// maxClaimTime bounds the times of a Claim, in milliseconds.
	maxClaimTime = 2 * 60 * 60 * 1000
)

// appendClaim appends the encoding of a Claim. Times are encoded in whole milliseconds.
func appendClaim(b []byte, c *poison.Claim) []byte {
	b = protowire.AppendTag(b, fieldKey, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(c.Key))
	if c.Head != c.Key {
		b = protowire.AppendTag(b, fieldHead, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, uint64(c.Head))
	}
	b = protowire.AppendTag(b, fieldSource, protowire.Fixed32Type)
	b = protowire.AppendFixed32(b, c.Source)
	if len(c.Crashes) > 0 {
		var crashes []byte
		for _, crash := range c.Crashes {
			crashes = protowire.AppendFixed32(crashes, crash.Upstream)
			crashes = protowire.AppendVarint(crashes, millis(crash.Age))
		}
		b = protowire.AppendTag(b, fieldCrashes, protowire.BytesType)
		b = protowire.AppendBytes(b, crashes)
	}
	if c.HoldRemaining > 0 {
		b = protowire.AppendTag(b, fieldHoldRemaining, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(c.HoldRemaining))
		b = protowire.AppendTag(b, fieldHoldAge, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(c.HoldAge))
	}
	if c.Responded {
		b = protowire.AppendTag(b, fieldResponseAge, protowire.VarintType)
		b = protowire.AppendVarint(b, millis(c.ResponseAge))
	}
	return b
}

// millis returns a duration in milliseconds, limited to the range 0 to maxClaimTime.
func millis(d time.Duration) uint64 { return uint64(max(0, min(d.Milliseconds(), maxClaimTime))) }

// decodeClaim decodes the output of appendClaim. Unknown fields are skipped.
func decodeClaim(b []byte) (poison.Claim, error) {
	var c poison.Claim
	var key, head, holdRemaining, holdAge, responseAge uint64
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
			c.Source, n = protowire.ConsumeFixed32(b)
		case field == fieldCrashes && kind == protowire.BytesType:
			crashes, n = protowire.ConsumeBytes(b)
		case field == fieldHoldRemaining && kind == protowire.VarintType:
			holdRemaining, n = protowire.ConsumeVarint(b)
		case field == fieldHoldAge && kind == protowire.VarintType:
			holdAge, n = protowire.ConsumeVarint(b)
		case field == fieldResponseAge && kind == protowire.VarintType:
			responseAge, n = protowire.ConsumeVarint(b)
			c.Responded = true
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		return n
	})
	if err != nil {
		return c, err
	}
	if holdRemaining > maxClaimTime || holdAge > maxClaimTime || responseAge > maxClaimTime {
		return c, errMalformed
	}
	c.Key, c.Head = poison.Key(key), poison.Key(key)
	if hasHead {
		c.Head = poison.Key(head)
	}
	c.HoldRemaining, c.HoldAge = time.Duration(holdRemaining)*time.Millisecond, time.Duration(holdAge)*time.Millisecond
	c.ResponseAge = time.Duration(responseAge) * time.Millisecond
	return c, decodeCrashes(crashes, &c)
}

// decodeCrashes decodes the crashes of a Claim into c.Crashes. It fails on more than
// maxClaimCrashes crashes.
func decodeCrashes(b []byte, c *poison.Claim) error {
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
		if age[0] > maxClaimTime || len(c.Crashes) == maxClaimCrashes {
			return errMalformed
		}
		c.Crashes = append(c.Crashes, poison.Crash{Upstream: upstream, Age: time.Duration(age[0]) * time.Millisecond})
	}
	return nil
}
