package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// client sends requests to one node on kept connections.
type client struct {
	rec  *record
	node *node
	http *http.Client
}

func newClient(rec *record, n *node) *client {
	return &client{rec, n, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// send sends a request and returns its status; 0 if there was no answer.
func (c *client) send(method, path, id, body string, deadline time.Duration, headers map[string]string) int {
	req, err := http.NewRequest(method, "http://"+c.node.front+path, strings.NewReader(body))
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
		c.rec.addAt(began, fmt.Sprintf("client: %s to %s: no answer: %v", id, c.node.name, err))
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	c.rec.addAt(began, fmt.Sprintf("client: %s to %s: %d after %d ms", id, c.node.name, resp.StatusCode, time.Since(began).Milliseconds()))
	return resp.StatusCode
}
