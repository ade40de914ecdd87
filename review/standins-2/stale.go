package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// staleRounds is the number of changes of the configuration, each of which moves the route to the
	// other of two services.
	staleRounds = 10
	// stalePause is the time from a change until clients send again: no request comes meanwhile. The bound
	// configApplyS is shorter.
	stalePause = 3 * time.Second
	// quietPause is the time without requests before each change.
	quietPause       = 3 * time.Second
	staleConfigApply = 2500 * time.Millisecond
	// staleClients is the number of clients that then send one request each, on a kept connection.
	staleClients = 150
	staleSpread  = 2 * time.Millisecond
	staleWork    = 30 * time.Millisecond
)

// playStale changes the configuration while no requests come, and has clients send some time later.
func playStale(w *world) (bool, string, error) {
	zones := []zone{{"mus-a", "muscat"}, {"soh-a", "sohar"}}
	services := []string{"huvo11a", "wuno96b"}
	put := func(version, to int) {
		cfg := config(map[string]any{"r-1": route("/lepu270/", "safe", services[to], 2, 0.5)}, map[string]any{services[0]: service(), services[1]: service()})
		cfg["version"] = fmt.Sprintf("r%d", version)
		w.store.Put("op/config", cfg)
		w.rec.addf("operator: r%d is acknowledged, the route goes to %s", version, services[to])
	}
	put(7, 0)
	for i, name := range services {
		if err := w.addTargets(24, zones, targetOptions{id: fmt.Sprintf("i-%c", 'a'+i), service: name, slots: 9, queue: 27, work: staleWork, size: 400}); err != nil {
			return false, "", err
		}
	}
	if err := w.addNodes(zones, zones, smallBounds); err != nil {
		return false, "", err
	}
	var conns []net.Conn
	for range staleClients {
		conn, err := net.Dial("tcp", w.nodes[0].front)
		if err != nil {
			return false, "", err
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	// wanted holds the service that the configuration names, by request.
	wanted := make(map[string]string)
	current := 0
	for round := range staleRounds {
		time.Sleep(quietPause)
		if w.trouble {
			current = round % len(services)
			put(8+round, current)
		}
		time.Sleep(stalePause)
		for id := range sendAll(w, conns) {
			wanted[id] = services[current]
		}
	}
	return judgeStale(w, wanted)
}

// sendAll sends one request on each connection, within staleSpread, and reads the answers.
func sendAll(w *world, conns []net.Conn) map[string]bool {
	ids := make(map[string]bool)
	var sending sync.WaitGroup
	for i, conn := range conns {
		id := newID()
		ids[id] = true
		sending.Add(1)
		go func() {
			defer sending.Done()
			time.Sleep(rand.N(staleSpread))
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			w.rec.addf("client: sends %s", id)
			_, err := fmt.Fprintf(conn, "GET /lepu270/%x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCookie: Affinity-Key=%d\r\nDeadline-Ms: 3000\r\n\r\n", i, host, id, i)
			status := "none"
			if err == nil {
				status, err = readAnswer(conn)
			}
			w.rec.addf("client: answer to %s: %s, error %v", id, status, err)
		}()
	}
	sending.Wait()
	return ids
}

// readAnswer reads a whole answer and returns its status.
func readAnswer(conn net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "none", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Status, err
}

// judgeStale counts the requests that were run by the service that only an older version names. All were
// sent longer than configApplyS after the acknowledgement of the newest one.
func judgeStale(w *world, wanted map[string]string) (bool, string, error) {
	runs, stale := 0, 0
	for _, t := range w.targets {
		for _, r := range allRuns([]*target{t}) {
			runs++
			if wanted[r.id] != t.service {
				stale++
				w.rec.addf("%s was run by %s, which the configuration in force no longer names", r.id, t.service)
			}
		}
	}
	if runs == 0 {
		return false, "", fmt.Errorf("no request was run")
	}
	return stale > 0, fmt.Sprintf("CONFIG: %d of %d requests, sent %v after a change was acknowledged (bound %v), were run by the service that only the older version names", stale, runs, stalePause, staleConfigApply), nil
}
