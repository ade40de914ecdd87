package process

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// never is a period longer than any test, so that only signals cause a read.
const never = time.Hour

// write replaces a file atomically, so that no reader sees partial content.
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

// TestSIGHUPReadsFile checks that SIGHUP reads the file, and that content without a change is not
// passed on.
func TestSIGHUPReadsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, "one")
	signals := make(chan os.Signal)
	contents := make(chan string, 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchFile(ctx, signals, path, []byte("one"), never, func(c []byte) { contents <- string(c) })
	}()
	signals <- syscall.SIGHUP
	signals <- syscall.SIGHUP
	write(t, path, "two")
	signals <- syscall.SIGHUP
	if got := <-contents; got != "two" {
		t.Errorf("changed was called with content %q, want two", got)
	}
	cancel()
	<-ended
}

// TestSIGHUPDoesNotTerminate sends the test process a SIGHUP while WatchFile runs. Without a
// handler the signal terminates a node in the middle of its requests.
func TestSIGHUPDoesNotTerminate(t *testing.T) {
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

// TestSIGHUPDoesNotTerminateStoppingProcess sends the test process a SIGHUP after WatchFile has
// returned, as it happens while a process completes its last requests.
func TestSIGHUPDoesNotTerminateStoppingProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, "one")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	WatchFile(ctx, path, []byte("one"), time.Hour, func([]byte) {})
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	// The kernel may deliver the signal to another thread, after Kill has returned.
	time.Sleep(50 * time.Millisecond)
}
