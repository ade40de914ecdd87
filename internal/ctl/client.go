// Package ctl implements loomkeelctl, the operators' command line.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/loomkeel/loomkeel/internal/command"
	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/query"
)

// callTimeout limits one call. An agent responds to a change within its setting
// commit_timeout, which is at most one minute.
const callTimeout = 70 * time.Second

// Client calls the HTTP interface for operators of one agent.
type Client struct {
	base  string
	token string
	http  http.Client
}

// NewClient returns a client of the agent at an address. It uses the operators' token in
// tokenFile, or none if tokenFile is empty.
func NewClient(addr, tokenFile string) (*Client, error) {
	c := &Client{base: "http://" + addr, http: http.Client{Timeout: callTimeout}}
	if tokenFile == "" {
		return c, nil
	}
	b, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, err
	}
	c.token = strings.TrimSpace(string(b))
	return c, nil
}

// Change sends a change and returns its result. An error means that the outcome of the
// change is unknown.
func (c *Client) Change(ctx context.Context, ch command.Change) (command.Result, error) {
	body, err := json.Marshal(ch)
	if err != nil {
		return command.Result{}, err
	}
	var res command.Result
	err = c.call(ctx, http.MethodPost, "/v1/changes", body, &res)
	return res, err
}

// Tree returns the settings at a path, or all settings for "".
func (c *Client) Tree(ctx context.Context, path string) (query.Tree, error) {
	var t query.Tree
	err := c.call(ctx, http.MethodGet, "/v1/tree?path="+url.QueryEscape(path), nil, &t)
	return t, err
}

// Value returns the effective value of a key at a path, and where it is set.
func (c *Client) Value(ctx context.Context, path, key string) (query.Value, error) {
	var v query.Value
	q := url.Values{"path": {path}, "key": {key}}
	err := c.call(ctx, http.MethodGet, "/v1/value?"+q.Encode(), nil, &v)
	return v, err
}

// History returns the newest changes, at most limit of them.
func (c *Client) History(ctx context.Context, limit int) ([]query.Change, error) {
	var h []query.Change
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/history?limit=%d", limit), nil, &h)
	return h, err
}

// Members returns the instances in the agent's member list.
func (c *Client) Members(ctx context.Context) ([]membership.Member, error) {
	var ms []membership.Member
	err := c.call(ctx, http.MethodGet, "/v1/members", nil, &ms)
	return ms, err
}

// Dump returns the state of each process of the agent's instance, as JSON by process.
func (c *Client) Dump(ctx context.Context) (map[string]json.RawMessage, error) {
	var d map[string]json.RawMessage
	err := c.call(ctx, http.MethodGet, "/v1/dump", nil, &d)
	return d, err
}

// Outcome returns the result of the change with an ID.
func (c *Client) Outcome(ctx context.Context, id string) (command.Result, error) {
	var r command.Result
	err := c.call(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(id), nil, &r)
	return r, err
}

// call makes one request and decodes the JSON of the response into out, also for the status
// codes of refused changes. Without a valid token, and for an invalid GET request, it returns
// the text of the response as the error.
func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusBadRequest && method == http.MethodGet {
		return fmt.Errorf("agent: %s", strings.TrimSpace(string(b)))
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("agent: %s: %w", resp.Status, err)
	}
	return nil
}

// accepted reports whether the change was accepted.
func accepted(r command.Result) bool { return r.Outcome == configlog.Accepted }
