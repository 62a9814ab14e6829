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

// maxResponseBytes bounds what a client reads of an answer.
const maxResponseBytes = 64 << 20

// ResponseError is an answer with a status other than 2xx.
type ResponseError struct {
	Status  int // of HTTP
	Message string
}

func (e *ResponseError) Error() string { return e.Message }

// Client calls one control socket. It may be used from several goroutines.
type Client struct {
	path string
	http http.Client
}

// NewClient returns a client whose calls each take at most timeout. It keeps no connection open between calls, because the
// server accepts only a few.
func NewClient(path string, timeout time.Duration) *Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "unix", path)
	}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dial}
	return &Client{path: path, http: http.Client{Timeout: timeout, Transport: transport}}
}

// Call sends a request with in as its JSON body, or without a body if in is nil, and decodes the response's JSON into out,
// unless that is nil. A response with an error status is returned as a *ResponseError.
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
		return fmt.Errorf("%s: answer: %w", c.path, err)
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

// newResponseError returns the error that a response's body holds. If the body holds none, the server is not a control
// socket of this program, and the status is the message.
func newResponseError(response *http.Response, body []byte) *ResponseError {
	var content errorResponse
	if json.Unmarshal(body, &content) != nil || content.Error == "" {
		content.Error = response.Status
	}
	return &ResponseError{Status: response.StatusCode, Message: content.Error}
}
