package poison

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkKeys measures the overhead that tracking adds to each request: computing its keys,
// including the prefix of its body, and recording its response.
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
					b.Fatal("the request has a record")
				}
				tr.RecordResponse(now, head.WithBody(body))
			}
		})
	}
}
