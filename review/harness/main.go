// Command harness plays the cases of the review: it starts loomkeel-node processes, and stands in for
// the platform's store, the targets, the operator and the clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

var (
	repository, deployRun string
	trouble               = os.Getenv("TROUBLE") != "0"
	began                 = time.Now()
	recordMu              sync.Mutex
	recordFile            *os.File
	// subnet is the beginning of the loopback addresses of this run.
	subnet string
)

// window is the time of a disruption.
type window struct{ from, to time.Time }

// open makes the disruption last for a time, after a wait; without trouble there is none.
func (w *window) open(after, length time.Duration) {
	if trouble {
		w.from = time.Now().Add(after)
		w.to = w.from.Add(length)
	}
}

func (w *window) on() bool {
	now := time.Now()
	return now.After(w.from) && now.Before(w.to)
}

// unable is the panic value of a case that can not run.
type unable struct{ error }

func check(err error) {
	if err != nil {
		panic(unable{err})
	}
}

// record writes a line of record.txt.
func record(who, what string, fields ...any) {
	line := fmt.Sprintf("%9.3f %-14s %s", time.Since(began).Seconds(), who, what)
	for i := 0; i+1 < len(fields); i += 2 {
		line += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintln(recordFile, line)
}

// say records a line and prints it.
func say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	record("case", line)
	fmt.Println(line)
}

// deployCommand returns the command of the role in the deploy file.
func deployCommand() string {
	raw, err := os.ReadFile(filepath.Join(repository, "deploy", "system.toml"))
	check(err)
	for line := range strings.Lines(string(raw)) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), " = ")
		if ok && name == "run" {
			return strings.Trim(value, `"`)
		}
	}
	panic(unable{fmt.Errorf("no command in the deploy file")})
}

// pickSubnet returns the beginning of unused loopback addresses. The nodes' port for metrics is fixed.
func pickSubnet() string {
	for {
		s := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", s+"1:9090")
		if err == nil {
			l.Close()
			return s
		}
	}
}

func main() {
	os.Exit(play())
}

func play() (status int) {
	if len(os.Args) != 4 {
		fmt.Println("usage: harness CASE REPOSITORY FOLDER")
		return 2
	}
	defer func() {
		if r := recover(); r != nil {
			fmt.Println("the case could not run:", r)
			status = 2
		}
	}()
	repository = os.Args[2]
	deployRun = deployCommand()
	subnet = pickSubnet()
	var err error
	recordFile, err = os.Create(filepath.Join(os.Args[3], "record.txt"))
	check(err)
	defer recordFile.Close()
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	// A case that hangs could not run. The end of this process ends the nodes.
	time.AfterFunc(timeLimit, func() {
		fmt.Println("the case could not run: it took too long")
		os.RemoveAll(dir)
		os.Exit(2)
	})
	cases := map[string]func(dir string) bool{
		"surplus":  playSurplus,
		"pipeline": playPipeline,
		"memory":   playMemory,
	}
	f := cases[os.Args[1]]
	if f == nil {
		fmt.Println("no such case")
		return 2
	}
	if f(dir) {
		say("result: the rule was broken")
		return 1
	}
	say("result: the rule held")
	return 0
}
