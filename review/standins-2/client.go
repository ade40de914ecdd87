package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lastRequest counts the ids of requests.
var lastRequest atomic.Int64

func newID() string { return fmt.Sprintf("a%08d", lastRequest.Add(1)) }

// checkPort returns an error if the metrics port of an address is taken.
func checkPort(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort))
	if err != nil {
		return err
	}
	return l.Close()
}

// resolveTimeout is how long a client waits for the answer of one directory.
const resolveTimeout = time.Second

// client sends requests to the nodes that directories name for its zone, on kept connections.
type client struct {
	rec  *record
	zone zone
	// directories are the addresses to ask, the nearest first.
	directories []string
	http        *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// newClient returns a client in the zone of a node, whose directory it asks first.
func newClient(rec *record, n *node, all []*node) *client {
	c := &client{rec: rec, zone: n.zone, directories: []string{n.directory}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
	for _, other := range all {
		if other != n {
			c.directories = append(c.directories, other.directory)
		}
	}
	return c
}

// address returns one of the addresses of the last answer at random. It asks the directories again once
// that answer has been held for the time that it states.
func (c *client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.resolve()
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// resolve asks one directory after the other. An older answer is held if none answers.
func (c *client) resolve() {
	query := url.Values{"name": {host}, "region": {c.zone.region}, "zone": {c.zone.name}}.Encode()
	for _, d := range c.directories {
		answer, err := ask(d, query)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		if !slices.Equal(answer.Addresses, c.addresses) {
			c.rec.addf("client in %s: the directory at %s names %s for %v s", c.zone.name, d, strings.Join(answer.Addresses, ", "), answer.TTL)
		}
		c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(answer.TTL*float64(time.Second)))
		return
	}
}

// directoryAnswer is what a directory answers.
type directoryAnswer struct {
	Addresses []string `json:"addresses"`
	TTL       float64  `json:"ttlS"`
}

func ask(directory, query string) (directoryAnswer, error) {
	var out directoryAnswer
	resp, err := (&http.Client{Timeout: resolveTimeout}).Get("http://" + directory + "/resolve?" + query)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// send sends a request and returns its status; 0 if there was no answer.
func (c *client) send(method, path, id, body string, deadline time.Duration, headers map[string]string) int {
	address := c.address()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.rec.addAt(began, fmt.Sprintf("client: %s to %s: no answer: %v", id, address, err))
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	c.rec.addAt(began, fmt.Sprintf("client: %s to %s: %d after %d ms", id, address, resp.StatusCode, time.Since(began).Milliseconds()))
	return resp.StatusCode
}
