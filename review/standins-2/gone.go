package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// orders is the number of orders that clients send, spread over sendOver. Each client leaves within
	// leaveWithin, which is half of the route's objective.
	orders      = 80
	sendOver    = 800 * time.Millisecond
	leaveWithin = 300 * time.Millisecond
	// goneAfter is the bound of the rule: no request may reach a target so long after its client's
	// close. A few may.
	goneAfter = 500 * time.Millisecond
	goneFew   = 5
	// goneWait is how long the stand-ins wait for requests after the last order.
	goneWait = 4 * time.Second
)

// playGone sends orders whose clients leave soon, while one target of four is dark.
func playGone(w *world) (bool, string, error) {
	zones := []zone{{"mus-a", "muscat"}, {"soh-a", "sohar"}}
	w.store.Put("op/config", config(map[string]any{"r-1": route("/xapu221/ny95/", "unsafe", "wuno96b", 2.5, 0.6)}, map[string]any{"wuno96b": service()}))
	opt := targetOptions{id: "i-ord", service: "wuno96b", slots: 9, queue: 27, work: 50 * time.Millisecond, size: 400}
	if err := w.addTargets(3, zones, opt); err != nil {
		return false, "", err
	}
	opt.id, opt.zone = "i-dark", zones[1].name
	var err error
	var dark *target
	if w.trouble {
		dark, err = startDark(w, opt)
	} else {
		dark, err = startTarget(w.store, w.rec, w.ip(150), opt)
	}
	if err != nil {
		return false, "", err
	}
	if err := w.addNodes(zones, zones, smallBounds); err != nil {
		return false, "", err
	}
	closed := make(map[string]time.Time)
	var mu sync.Mutex
	var sending sync.WaitGroup
	for i := range orders {
		time.Sleep(sendOver / orders)
		sending.Add(1)
		go func() {
			defer sending.Done()
			id := newID()
			at, err := sendOrder(w, w.nodes[i%len(w.nodes)], id, i)
			if err != nil {
				w.rec.addf("client: %s: %v", id, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			closed[id] = at
		}()
	}
	sending.Wait()
	time.Sleep(goneWait)
	return judgeGone(w, append(w.targets, dark), closed)
}

// startDark writes the entry of a target whose machine says nothing: no connection to it is accepted.
func startDark(w *world, opt targetOptions) (*target, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	addr := &syscall.SockaddrInet4{}
	copy(addr.Addr[:], net.ParseIP(w.ip(150)).To4())
	if err := syscall.Bind(fd, addr); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	t := &target{targetOptions: opt, addr: fmt.Sprintf("%s:%d", w.ip(150), bound.(*syscall.SockaddrInet4).Port), store: w.store, rec: w.rec, started: time.Now()}
	// The queue of new connections is full from here on, so that opening packets are dropped.
	for range 2 {
		go net.DialTimeout("tcp", t.addr, time.Minute)
	}
	time.Sleep(100 * time.Millisecond)
	t.writeEntry()
	w.rec.addf("target %s is dark", t.id)
	return t, nil
}

// sendOrder sends an order on a connection of its own, closes it within leaveWithin, and returns when that
// was.
func sendOrder(w *world, n *node, id string, i int) (time.Time, error) {
	conn, err := net.Dial("tcp", n.front)
	if err != nil {
		return time.Time{}, err
	}
	body := strings.Repeat("o", 400)
	w.rec.addf("client: sends %s to %s", id, n.name)
	_, err = fmt.Fprintf(conn, "POST /xapu221/ny95/%x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCookie: Affinity-Key=%d\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", i, host, id, i, len(body), body)
	if err != nil {
		return time.Time{}, err
	}
	// Clients leave at even steps between 0 and leaveWithin, in an order that is not that of the sends.
	_ = conn.SetReadDeadline(time.Now().Add(leaveWithin * time.Duration(i*37%orders) / orders))
	if n, _ := io.ReadAtLeast(conn, make([]byte, 1<<10), 12); n > 0 {
		w.rec.addf("client: %s is answered", id)
	}
	conn.Close()
	w.rec.addf("client: %s leaves", id)
	return time.Now(), nil
}

// judgeGone counts the requests that reached a target over goneAfter after their client's close.
func judgeGone(w *world, targets []*target, closed map[string]time.Time) (bool, string, error) {
	late, all := 0, 0
	for _, t := range targets {
		t.mu.Lock()
		for _, r := range t.arrivals {
			all++
			at, ok := closed[r.id]
			if after := r.at.Sub(at); ok && after > goneAfter {
				late++
				w.rec.addf("%s: %s reached it %d ms after its client had left", t.id, r.id, after.Milliseconds())
			}
		}
		t.mu.Unlock()
	}
	if all == 0 {
		return false, "", fmt.Errorf("no request reached a target")
	}
	return late > goneFew, fmt.Sprintf("GONE: %d of %d orders reached a target over %v after their client had left", late, orders, goneAfter), nil
}
