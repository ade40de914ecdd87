// Package wait has the pause between the rounds of a loop.
package wait

import (
	"context"
	"time"
)

// For waits for d. It reports false if ctx ended before.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
