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

// WatchFile calls changed with the content of a file whenever it differs from the last content
// read, initially from last. It reads the file every period and whenever the process receives a
// SIGHUP, and returns when ctx ends. A file that cannot be read is logged and skipped.
//
// From its start on, SIGHUP no longer terminates the process. WatchFile ignores the signal when it
// returns, so that a SIGHUP does not terminate a process that is completing its last requests.
func WatchFile(ctx context.Context, path string, last []byte, period time.Duration, changed func(content []byte)) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Ignore(syscall.SIGHUP)
	watchFile(ctx, signals, path, last, period, changed)
}

// watchFile implements WatchFile with the given channel of SIGHUP signals.
func watchFile(ctx context.Context, signals <-chan os.Signal, path string, last []byte, period time.Duration, changed func(content []byte)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-signals:
			klog.InfoS("SIGHUP received, reading file", "path", path)
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		content, err := os.ReadFile(path)
		if err != nil {
			klog.ErrorS(err, "cannot read settings file, keeping the last settings", "path", path)
			continue
		}
		if !bytes.Equal(content, last) {
			last = content
			changed(content)
		}
	}
}
