package controlsocket

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxResponseBytes bounds the size of a response that a client reads.
const maxResponseBytes = 64 << 20

// ResponseError is the error in a response whose status is not 2xx.
type ResponseError struct {
	Status  int // HTTP status code
	Message string
}

func (e *ResponseError) Error() string { return e.Message }

// Client sends requests to one control socket. It may be used concurrently.
type Client struct {
	path string
	http http.Client
}

// NewClient returns a client whose calls each take at most timeout. It keeps no connection open between calls, because the
// server accepts only maxConnections at a time.
func NewClient(path string, timeout time.Duration) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "unix", path)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dial}
	return &Client{path: path, http: http.Client{Timeout: timeout, Transport: transport}}
}

// Call sends a request with in as its JSON body, or without a body if in is nil, and decodes the JSON response into out,
// unless out is nil. A response with an error status is returned as a *ResponseError.
func (c *Client) Call(ctx context.Context, method, target string, in, out any) error {
	request, err := newRequest(ctx, method, target, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w", c.path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s: %w", c.path, err)
	}
	if response.StatusCode >= 300 {
		return newResponseError(response, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("%s: decode response: %w", c.path, err)
	}
	return nil
}

func newRequest(ctx context.Context, method, target string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	const anyHost = "http://control" // the transport dials the socket whatever the host
	return http.NewRequestWithContext(ctx, method, anyHost+target, body)
}

// newResponseError returns the error in a response's body. If the body holds none, the server is not a control socket of
// this program, and the status text is the message.
func newResponseError(response *http.Response, body []byte) *ResponseError {
	var content errorResponse
	if json.Unmarshal(body, &content) != nil || content.Error == "" {
		content.Error = response.Status
	}
	return &ResponseError{Status: response.StatusCode, Message: content.Error}
}
