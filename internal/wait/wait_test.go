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
			t.Error("a wait that was not ended reports so")
		}
		if For(ctx, time.Hour) {
			t.Error("a wait that was ended reports that it was not")
		}
	})
}
