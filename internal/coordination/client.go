package coordination

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// VersionHeader is the response header with the version of a key.
const VersionHeader = "Version"

// waitMargin is how long a long poll may take beyond the wait that was requested.
const waitMargin = 2 * time.Second

// Client is the HTTP client of the platform's key-value service and instance list. It is safe
// for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// NewClient returns a client of the services at the base URL, such as "http://10.0.0.5:7000".
// A call takes at most timeout; Watch and Instances take at most their wait plus waitMargin.
func NewClient(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{}, timeout: timeout}
}

var _ interface {
	Store
	InstanceLister
} = (*Client)(nil)

// Get implements Store with a GET request.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return c.read(ctx, c.timeout, keyPath(key))
}

// Watch implements Store with a long poll.
func (c *Client) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Entry, error) {
	q := url.Values{}
	q.Set("not", strconv.FormatUint(version, 10))
	q.Set("wait", wait.String())
	return c.read(ctx, wait+waitMargin, keyPath(key)+"?"+q.Encode())
}

// CompareAndSwap implements Store. It sends the write once, without retries.
func (c *Client) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease LeaseID) (uint64, error) {
	q := url.Values{}
	q.Set("version", strconv.FormatUint(version, 10))
	if lease != 0 {
		q.Set("lease", strconv.FormatUint(uint64(lease), 10))
	}
	e, err := c.do(ctx, c.timeout, http.MethodPut, keyPath(key)+"?"+q.Encode(), value)
	return e.Version, err
}

// Delete implements Store with a DELETE request.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	path := keyPath(key) + "?version=" + strconv.FormatUint(version, 10)
	_, err := c.do(ctx, c.timeout, http.MethodDelete, path, nil)
	return err
}

// Grant implements Store. The ID of the lease is the body of the response.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	e, err := c.do(ctx, c.timeout, http.MethodPost, "/v1/leases?ttl="+ttl.String(), nil)
	if err != nil {
		return 0, err
	}
	id, err := strconv.ParseUint(string(e.Value), 10, 64)
	return LeaseID(id), err
}

// KeepAlive implements Store with a PUT request on the lease.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	path := "/v1/leases/" + strconv.FormatUint(uint64(id), 10)
	_, err := c.do(ctx, c.timeout, http.MethodPut, path, nil)
	return err
}

// Instances implements InstanceLister with a long poll.
func (c *Client) Instances(ctx context.Context, version uint64, wait time.Duration) (InstanceList, error) {
	q := url.Values{}
	q.Set("not", strconv.FormatUint(version, 10))
	q.Set("wait", wait.String())
	e, err := c.read(ctx, wait+waitMargin, "/v1/instances?"+q.Encode())
	if err != nil {
		return InstanceList{}, err
	}
	var l InstanceList
	if err := json.Unmarshal(e.Value, &l); err != nil {
		return InstanceList{}, fmt.Errorf("coordination: decode instance list: %w", err)
	}
	return l, nil
}

// keyPath returns the URL path of a key.
func keyPath(key string) string { return "/v1/kv/" + url.PathEscape(key) }

// read sends a GET request. It returns an Entry with version Absent for a missing key.
func (c *Client) read(ctx context.Context, timeout time.Duration, path string) (Entry, error) {
	return c.do(ctx, timeout, http.MethodGet, path, nil)
}

// do sends a request and decodes the response. The timeout covers reading the body.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, path string, body []byte) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, nil)
	if err != nil {
		return Entry{}, err
	}
	if body != nil {
		// Without GetBody, net/http cannot resend the body. It must not resend a write on its
		// own: if the first send took effect, the second one would fail with a conflict.
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Entry{}, err
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(io.LimitReader(resp.Body, 64*MaxValueBytes))
	if err != nil {
		return Entry{}, err
	}
	return decode(resp, value)
}

// decode converts a response into an Entry or an error of this package.
func decode(resp *http.Response, value []byte) (Entry, error) {
	switch resp.StatusCode {
	case http.StatusOK:
		version, _ := strconv.ParseUint(resp.Header.Get(VersionHeader), 10, 64)
		return Entry{Value: value, Version: version}, nil
	case http.StatusNotFound:
		return Entry{}, nil
	case http.StatusConflict:
		return Entry{}, ErrConflict
	case http.StatusGone:
		return Entry{}, ErrLeaseNotFound
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge:
		return Entry{}, fmt.Errorf("%w: %s", ErrRefused, resp.Status)
	}
	return Entry{}, fmt.Errorf("platform: %s", resp.Status)
}
