// Command standins-2 plays the cases of the review that are scripts: it starts nodes of the project
// as separate processes, with stand-ins for the platform's store, the targets and the clients, and
// checks one rule by what the stand-ins saw.
//
// Usage: standins-2 CASE RECORD. With TROUBLE=0 in the environment it leaves out the disruption. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// maxRun is the longest time of a play.
const maxRun = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken and a sentence on what was seen.
var cases = map[string]func(w *world) (bool, string, error){
	"quota": playQuota,
	"stale": playStale,
	"cold":  playCold,
	"gone":  playGone,
	"lost":  playLost,
}

func main() { os.Exit(play()) }

// play plays a case, writes its record and returns the exit code.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		return notRun
	}
	w, err := newWorld(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("not run:", err)
		return notRun
	}
	defer w.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		seen   string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		b, seen, err := cases[os.Args[1]](w)
		done <- result{b, seen, err}
	}()
	r := result{err: fmt.Errorf("no result within %v", maxRun)}
	select {
	case r = <-done:
	case <-stop:
		r.err = fmt.Errorf("stopped by a signal")
	case <-time.After(maxRun):
	}
	verdict, code := "held", held
	switch {
	case r.err != nil:
		verdict, r.seen, code = "not run", r.err.Error(), notRun
	case r.broken:
		verdict, code = "broken", broken
	}
	w.rec.addf("result: %s: %s", verdict, r.seen)
	fmt.Printf("%s: %s\n", verdict, r.seen)
	if err := w.rec.write(os.Args[2]); err != nil {
		fmt.Println("record not written:", err)
		return notRun
	}
	return code
}
