package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// moods are those in which a node may have to start, and whether a list can be had in them.
var moods = map[mood]bool{slow: true, trickling: true, silent: false, turnedAway: false, refusing: false, full: false, unread: false}

// restarted is a node that is ended and started anew, under its name and address.
type restarted struct {
	t       testing.TB
	list    *catalog
	file    string
	address string

	process *exec.Cmd
	log     *lines
	begun   time.Time
}

var serving = regexp.MustCompile(`msg=serving .*address=(\S+)`)

// newRestarted starts a node for the first time, with discovery as it should be; known tells whether its configuration has
// the list of before.
func newRestarted(t testing.TB, mode string, known bool) *restarted {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(backend.Close)
	entry := entry(backend.Listener.Addr().String(), "up")
	r := &restarted{t: t, list: newCatalog(t, 41, entry)}
	r.file = writeConfig(t, r.list, 192, 256, entry, strings.Replace(settings, "subscribe", mode, 1))
	// No connection from elsewhere on this machine takes a port of an address that is the test's own.
	r.rewrite(`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":"127.%d.%d.1:0"`, 100+os.Getpid()%100, os.Getpid()/100%250))
	if !known {
		r.rewrite(`"known":{"rev":41,"all":true,"targets":[`+entry+`]},`, "")
	}
	r.start()
	require.Eventually(t, func() bool { return r.log.count("msg=serving") > 0 }, 20*time.Second, time.Millisecond)
	r.address = r.log.find(serving)
	r.rewrite(`.1:0"`, `.1:`+r.address[strings.LastIndexByte(r.address, ':')+1:]+`"`)
	r.ready()
	return r
}

func (r *restarted) rewrite(from, to string) {
	text, err := os.ReadFile(r.file)
	require.NoError(r.t, err)
	require.Contains(r.t, string(text), from)
	require.NoError(r.t, os.WriteFile(r.file, []byte(strings.Replace(string(text), from, to, 1)), 0o600))
}

func (r *restarted) start() {
	r.process, r.begun = exec.Command(nodeProgram, "serve", "-config", r.file), time.Now()
	stderr, err := r.process.StderrPipe()
	require.NoError(r.t, err)
	require.NoError(r.t, r.process.Start())
	process := r.process
	r.t.Cleanup(func() { _ = process.Process.Kill() })
	r.log = follow(r.t, stderr)
}

func (r *restarted) end(how syscall.Signal) {
	require.NoError(r.t, r.process.Process.Signal(how))
	<-r.log.ended
	if err := r.process.Wait(); how == syscall.SIGTERM {
		require.NoError(r.t, err)
	}
}

// again starts the node anew while discovery is in a mood, and tells how long it took to be ready: from its start, or from
// discovery's return where the node can't be ready before that.
func (r *restarted) again(m mood, how syscall.Signal, known bool) time.Duration {
	r.list.be(m)
	r.end(how)
	before := r.list.called()
	r.start()
	since := r.begun
	if !known && !moods[m] {
		require.Eventually(r.t, func() bool {
			return r.log.count(`msg="endpoint list poll failed"`) > 0 && r.log.count("msg=serving") > 0
		},
			20*time.Second, time.Millisecond)
		require.Equal(r.t, http.StatusServiceUnavailable, r.health())
		if m == silent { // it returns while the next call is out, which is lost
			require.Eventually(r.t, func() bool { return r.list.called() > before+1 }, 20*time.Second, time.Millisecond)
		}
		since = time.Now()
		r.list.be(well)
	}
	return r.ready().Sub(since)
}

// health is its status; 0 is that nobody answers.
func (r *restarted) health() int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	answer, err := client.Get("http://" + r.address + "/_health")
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

// ready awaits the node, and tells when it was ready.
func (r *restarted) ready() time.Time {
	for until := time.Now().Add(20 * time.Second); r.health() != http.StatusOK; <-time.After(time.Millisecond) {
		require.Less(r.t, time.Now(), until)
	}
	return time.Now()
}

func (l *lines) find(what *regexp.Regexp) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return what.FindStringSubmatch(l.said.String())[1]
}

// A node that is told to end or is killed, and starts anew, is ready within 10 s whatever discovery is like: by its list where it
// has one or can have it, else 10 s after that can be had. What it calls ready is: it answers a request.
func TestReadyWhateverDiscoveryIsLike(t *testing.T) {
	for m := range moods {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, known := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/%s/known=%v", m, mode, known), func(t *testing.T) {
					t.Parallel()
					r := newRestarted(t, mode, known)
					for _, how := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
						took := r.again(m, how, known)
						assert.Less(t, took, 10*time.Second, how)
						w := &world{t: t, address: r.address}
						w.served(fresh(), how.String())
					}
				})
			}
		}
	}
}

// BenchmarkReady is the time from a start to the first answer that the node is ready, by what discovery is like; from
// discovery's return where the node has no list and can't have one. Run with -benchtime 20x.
func BenchmarkReady(b *testing.B) {
	for _, m := range []mood{well, slow, trickling, silent, turnedAway, refusing, full, unread} {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, known := range []bool{true, false} {
				b.Run(fmt.Sprintf("%s/%s/known=%v", m, mode, known), func(b *testing.B) {
					r := newRestarted(b, mode, known)
					var took []float64
					for b.Loop() {
						how := syscall.SIGTERM
						if len(took)%2 == 1 {
							how = syscall.SIGKILL
						}
						took = append(took, float64(r.again(m, how, known || m == well).Microseconds())/1e3)
					}
					slices.Sort(took)
					b.ReportMetric(0, "ns/op") // which would be with the end before
					b.ReportMetric(took[len(took)/2], "median-ms")
					b.ReportMetric(took[(9*len(took)+9)/10-1], "p90-ms")
					b.ReportMetric(took[len(took)-1], "worst-ms")
				})
			}
		}
	}
}
