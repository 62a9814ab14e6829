package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const bodySize = 24 << 20 // bytes; three bodies exceed the memory limit of the node below

// Request bodies and responses that together are far larger than the node's memory limit pass through it complete, at their
// clients' pace, and other clients do not wait for them.
func TestLargeBodiesAreStreamed(t *testing.T) {
	block := bytes.Repeat([]byte("0123456789abcdef"), 4<<10)
	node := startNode(t, 256, func(rw http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.Header.Get("X-Trace-Id"), "down") {
			if request.Header.Get("X-Trace-Id") != "down-0" { // that one in chunks
				rw.Header().Set("Content-Length", strconv.Itoa(bodySize))
			}
			for range bodySize / len(block) {
				_, _ = rw.Write(block)
			}
			return
		}
		n, _ := io.Copy(io.Discard, request.Body)
		fmt.Fprint(rw, n)
	})
	peakMemory := func() int { // in kB
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.process.Process.Pid))
		require.NoError(t, err)
		_, rest, _ := strings.Cut(string(text), "VmHWM:")
		kB, err := strconv.Atoi(strings.Fields(rest)[0])
		require.NoError(t, err)
		return kB
	}
	var all sync.WaitGroup
	resume, starting := make(chan struct{}), make(chan struct{}, 1)
	for k := range 6 {
		starting <- struct{}{} // one after the other, so that none is rejected because of the others
		all.Go(func() {
			request, _ := http.NewRequest("GET", "http://"+node.address+"/api", nil)
			request.Header = http.Header{"X-Trace-Id": {fmt.Sprint("down-", k)}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"1500"}}
			response, err := newClient().Do(request)
			if !assert.NoError(t, err) {
				return
			}
			defer response.Body.Close()
			first := make([]byte, 1000)
			_, err = io.ReadFull(response.Body, first)
			assert.NoError(t, err, "the first bytes at once")
			<-starting
			<-resume // and then long after the request's deadline
			n, err := io.Copy(io.Discard, response.Body)
			assert.NoError(t, err)
			assert.Equal(t, int64(bodySize-1000), n)
		})
		all.Go(func() {
			request, _ := http.NewRequest("POST", "http://"+node.address+"/api", io.LimitReader(endlessReader{}, bodySize))
			if request.ContentLength = bodySize; k%2 == 0 {
				request.ContentLength = -1
			}
			request.Header = http.Header{"X-Trace-Id": {fmt.Sprint("up-", k)}, "X-Qos": {"pay"}, "X-Expires-In-Ms": {"4000"}}
			response, err := newClient().Do(request)
			if !assert.NoError(t, err) {
				return
			}
			defer response.Body.Close()
			output, _ := io.ReadAll(response.Body)
			assert.Equal(t, strconv.Itoa(bodySize), string(output))
		})
	}
	client, startedAt, served, k := newClient(), time.Now(), 0, 0
	for ; time.Since(startedAt) < 2*time.Second; k++ {
		asked := time.Now()
		status, _, _, err := node.send(client, "GET", fmt.Sprint("small-", k), "check", "2000")
		require.NoError(t, err)
		if status == 200 {
			served++
		}
		assert.Less(t, time.Since(asked), time.Second)
	}
	assert.Greater(t, served, k*9/10)
	close(resume)
	all.Wait()
	assert.Less(t, peakMemory(), 64<<10, "of %d MB transferred", 12*bodySize>>20)
}

type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) { return len(b), nil }

// Requests in all valid framings are served, however their bytes are split. A request that could hide another one
// (request smuggling) is refused.
func TestRequestFramings(t *testing.T) {
	node := startNode(t, 256, func(rw http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		fmt.Fprintf(rw, "%d", len(body))
	})
	const head = "POST /api HTTP/1.1\r\nHost: s\r\nX-Qos: pay\r\nX-Expires-In-Ms: 4000\r\n"
	big := strings.Repeat("x", 100_000)
	for name, c := range map[string]struct {
		sent   string
		pause  bool // in the middle, within the time that a head or a body may take
		status int
		body   string
	}{
		"a length":               {head + "Content-Length: 4\r\n\r\npaid", false, 200, "4"},
		"a slow head":            {head + "Content-Length: 4\r\n\r\npaid", true, 200, "4"},
		"no body":                {head + "Content-Length: 0\r\n\r\n", false, 200, "0"},
		"chunks of a byte":       {head + "Transfer-Encoding: chunked\r\n\r\n1;a=\"b\"\r\np\r\n1\r\na\r\n002\r\nid\r\n0\r\nX-Sum: 1\r\n\r\n", false, 200, "4"},
		"chunks, slow":           {head + "Transfer-Encoding: chunked\r\n\r\n1\r\np\r\n3\r\naid\r\n0\r\n\r\n", true, 200, "4"},
		"long":                   {head + "Content-Length: 100000\r\n\r\n" + big, false, 200, "100000"},
		"long, slow":             {head + "Content-Length: 100000\r\n\r\n" + big, true, 200, "100000"},
		"long, in chunks":        {head + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + big + "\r\n0\r\n\r\n", false, 200, "100000"},
		"continue":               {head + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\npaid", false, 200, "4"},
		"1.0":                    {strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 4\r\n\r\npaid", false, 200, "4"},
		"a length beside chunks": {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, 400, ""},
		"two":                    {head + "Content-Length: 0\r\n\r\n" + head + "X-Trace-Id: p\r\nContent-Length: 0\r\n\r\n", false, 400, ""},
		"too long":               {head + "Content-Length: 33554433\r\n\r\n", false, 413, ""},
		"chunk without a size":   {head + "Transfer-Encoding: chunked\r\n\r\nno\r\n\r\n", false, 400, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			to, err := net.Dial("tcp", node.address)
			require.NoError(t, err)
			defer to.Close()
			sent := strings.Replace(c.sent, "\r\n", "\r\nX-Trace-Id: "+strings.ReplaceAll(name, " ", "-")+"\r\n", 1)
			if c.pause {
				half := len(sent) / 2
				_, err = io.WriteString(to, sent[:half])
				require.NoError(t, err)
				<-time.After(time.Second)
				sent = sent[half:]
			}
			_, err = io.WriteString(to, sent)
			require.NoError(t, err)
			from := bufio.NewReader(to)
			response, err := http.ReadResponse(from, nil)
			if err == nil && response.StatusCode == 100 {
				response, err = http.ReadResponse(from, nil)
			}
			require.NoError(t, err)
			output, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, c.status, response.StatusCode)
			if c.status == 200 {
				assert.Equal(t, c.body, string(output))
			}
		})
	}
}

// A backend aborts its response after it has begun. The client sees that the response is incomplete, and the request is
// not sent again.
func TestBackendAbortsItsResponse(t *testing.T) {
	for name, chunked := range map[string]bool{"a length": false, "chunks": true} {
		node := startNode(t, 256, func(rw http.ResponseWriter, _ *http.Request) {
			if !chunked {
				rw.Header().Set("Content-Length", "1000000")
			}
			_, _ = rw.Write(make([]byte, 500_000))
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		})
		request, _ := http.NewRequest("GET", "http://"+node.address+"/api", nil)
		request.Header = http.Header{"X-Trace-Id": {"a"}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"2000"}}
		response, err := newClient().Do(request)
		require.NoError(t, err, name)
		_, err = io.Copy(io.Discard, response.Body)
		assert.Error(t, err, name)
		_ = response.Body.Close()
		assert.Equal(t, 1, node.attemptsOf("a"), name)
	}
}
