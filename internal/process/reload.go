package process

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// WatchFile calls changed with the content of a file whenever that is another than the
// last one, which at first is the one given. It looks at once when the process gets a
// SIGHUP, and else each period. It returns when ctx ends. Watching for the signal
// begins before WatchFile waits, and afterwards the signal is ignored: once WatchFile runs,
// a SIGHUP never ends the process, also not one that is finishing its last requests.
func WatchFile(ctx context.Context, path string, last []byte, period time.Duration, changed func(content []byte)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Ignore(syscall.SIGHUP)
	reload(ctx, signals, path, last, period, changed)
}

func reload(ctx context.Context, signals <-chan os.Signal, path string, last []byte, period time.Duration, changed func(content []byte)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-signals:
			klog.InfoS("reload asked for", "path", path)
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		content, err := os.ReadFile(path)
		if err != nil {
			klog.ErrorS(err, "settings not readable, those before stay in force", "path", path)
			continue
		}
		if !bytes.Equal(content, last) {
			last = content
			changed(content)
		}
	}
}
