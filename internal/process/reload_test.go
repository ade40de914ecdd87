package process

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// never is a period that does not end within a test.
const never = time.Hour

// write replaces a file at once, so that no reader sees a part of it.
func write(t *testing.T, path, content string) {
	t.Helper()
	next := path + ".next"
	if err := os.WriteFile(next, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, path); err != nil {
		t.Fatal(err)
	}
}

// TestHangUpReloads sends the process a SIGHUP. It once ended nodes in the middle
// of requests.
func TestHangUpReloads(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, "one")
	signals := make(chan os.Signal)
	contents := make(chan string, 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reload(ctx, signals, path, []byte("one"), never, func(c []byte) { contents <- string(c) })
	}()
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	write(t, path, "two")
	signals <- syscall.SIGHUP
	if got := <-contents; got != "two" {
		t.Errorf("content %q", got)
	}
	cancel()
	<-ended
}

// TestHangUpDoesNotEnd sends a real signal, which would end a process that does
// not listen for it.
func TestHangUpDoesNotEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, "one")
	changed := make(chan struct{}, 2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go WatchFile(ctx, path, []byte("one"), time.Millisecond, func([]byte) { changed <- struct{}{} })
	write(t, path, "two")
	<-changed
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	write(t, path, "three")
	<-changed
}

// TestHangUpDoesNotEndAStoppingProcess sends a real signal after Reload has returned,
// as while a process finishes its last requests.
func TestHangUpDoesNotEndAStoppingProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, "one")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	WatchFile(ctx, path, []byte("one"), time.Hour, func([]byte) {})
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// A signal to the own process may be delivered to another thread a little later.
	time.Sleep(50 * time.Millisecond)
}
