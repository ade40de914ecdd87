package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		if !For(ctx, time.Second) {
			t.Error("For returned false although the context had not ended")
		}
		if For(ctx, time.Hour) {
			t.Error("For returned true although the context had ended")
		}
	})
}
