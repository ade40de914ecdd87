package poison

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkKeys is what each request pays: its keys, with the beginning of its body, and
// the note that it was answered. Without a Tracker it is nothing.
func BenchmarkKeys(b *testing.B) {
	for _, bytes := range []int{0, 360_000} {
		b.Run(fmt.Sprint(bytes, " bytes of body"), func(b *testing.B) {
			tr, body := NewTracker("n"), make([]byte, bytes)
			now := time.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := Request{Method: "POST", Host: "novo81.example", Target: "/novo81/23/eaca", Object: "23", Caller: "100.65.0.28", Length: int64(i % 5000)}
				head := r.HeadKeys()
				if tr.HasRecord(head) {
					b.Fatal("known")
				}
				tr.RecordResponse(now, head.WithBody(body))
			}
		})
	}
}
