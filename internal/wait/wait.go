// Package wait provides the pause between iterations of a loop.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ends first.
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
