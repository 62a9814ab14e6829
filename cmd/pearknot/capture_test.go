package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/capture"
)

// A node on sockets captures what its module is told; after a SIGKILL, and a second life that ends by SIGTERM, both replay
// bit for bit.
func TestCaptureOfANode(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "capture.toml")
	out := filepath.Join(dir, "captures")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "dir = %q\nevery_ms = 5\nblock_kb = 1\n", out), 0o600))
	handler := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("X-Trace-Id"), "bad") {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprint(w, "done")
	}
	count := func() (ops, starts int) {
		files, err := capture.Segments(out)
		if err != nil {
			return 0, 0
		}
		for _, f := range files {
			_ = capture.Read(f, func(r capture.Record) error {
				switch r.Kind {
				case capture.Arrived:
					ops++
				case capture.Begin:
					starts++
				}
				return nil
			})
		}
		return ops, starts
	}
	for life := range 2 {
		w := start(t, 256, handler, "--capture", file)
		client := fresh()
		for k := range 60 {
			id := fmt.Sprintf("%s%d-%d", map[bool]string{true: "bad"}[k%7 == 0], life, k)
			_, _, _, err := w.ask(client, map[bool]string{true: "GET", false: "POST"}[k%3 > 0], id, map[bool]string{true: "check", false: "pay"}[k%3 > 0], "2000")
			require.NoError(t, err)
		}
		client.CloseIdleConnections()
		if life == 0 {
			require.Eventually(t, func() bool { ops, _ := count(); return ops == 60 }, 5*time.Second, 5*time.Millisecond)
			require.NoError(t, w.process.Process.Kill())
		} else {
			require.NoError(t, w.process.Process.Signal(os.Interrupt))
		}
		<-w.ended
	}
	ops, starts := count()
	assert.Equal(t, 120, ops)
	assert.Equal(t, 2, starts)
	var stdout, stderr bytes.Buffer
	status := run([]string{"replay", out, "--times", "3"}, &stdout, &stderr)
	assert.Equal(t, 0, status, stdout.String()+stderr.String())
	assert.Equal(t, 3, strings.Count(stdout.String(), "decisions match"))
	for _, c := range []struct {
		args   []string
		status int
		says   string
	}{
		{[]string{"capture", "ls", out}, 0, "records"}, {[]string{"capture", "cat", out}, 0, "arrived op 1"},
		{[]string{"capture", "verify", out}, 0, "0 segments that are not"}, {[]string{"replay", "/nowhere"}, 2, "no such file"},
		{[]string{"replay", dir}, 2, "no captures"}, {[]string{"replay", file}, 2, "no capture"}, {[]string{"replay", out, "--times", "0"}, 2, "below 1"},
		{[]string{"serve", "--config", "x", "--capture", file}, 1, "no such file"},
	} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, c.status, run(c.args, &stdout, &stderr), c.args)
		assert.Contains(t, stdout.String()+stderr.String(), c.says, c.args)
	}
}
