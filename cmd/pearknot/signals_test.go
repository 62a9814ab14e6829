package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// list is a discovery that gives an empty list and tells what it was asked.
func list(t *testing.T) (address string, asked chan string) {
	asked = make(chan string, 99)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
		fmt.Fprint(w, `{"rev":3,"all":true,"targets":[]}`)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), asked
}

var discoveryKey = regexp.MustCompile(`"discovery":"[^"]*"`)

// A signal comes while a node that starts still reads its configuration, here from a pipe that is not written yet. SIGHUP ended
// the process, and SIGTERM was swallowed by the command line, so that the node served on until it was killed.
func TestSignalsDuringTheStart(t *testing.T) {
	first, askedFirst := list(t)
	second, askedSecond := list(t)
	for name, signal := range map[string]os.Signal{"SIGHUP": syscall.SIGHUP, "SIGTERM": syscall.SIGTERM} {
		l := httptest.NewServer(http.NotFoundHandler())
		whole, err := os.ReadFile(writeConfig(t, l.Listener.Addr(), 192, 256, "", settings))
		l.Close()
		require.NoError(t, err)
		file := filepath.Join(t.TempDir(), "pipe")
		require.NoError(t, syscall.Mkfifo(file, 0o600))
		text := discoveryKey.ReplaceAll(whole, fmt.Appendf(nil, `"discovery":%q`, first))
		to, err := os.OpenFile(file, os.O_RDWR, 0) // so that it waits for no reader
		require.NoError(t, err)
		_, err = to.Write(text[:100])
		require.NoError(t, err)
		process := exec.Command(nodeProgram, "serve", "-config", file)
		require.NoError(t, process.Start())
		t.Cleanup(func() { _ = process.Process.Kill() })
		ended := make(chan error, 1)
		go func() { ended <- process.Wait() }()
		require.Eventually(t, func() bool { // it is being read
			left, err := unix.IoctlGetInt(int(to.Fd()), unix.TIOCINQ)
			return err == nil && left == 0
		}, 20*time.Second, time.Millisecond)
		require.NoError(t, process.Process.Signal(signal))
		require.NoError(t, os.WriteFile(file+"-next", discoveryKey.ReplaceAll(whole, fmt.Appendf(nil, `"discovery":%q`, second)), 0o600))
		require.NoError(t, os.Rename(file+"-next", file)) // what is read once more is another file
		_, err = to.Write(text[100:])
		require.NoError(t, err)
		require.NoError(t, to.Close())
		if signal == syscall.SIGHUP {
			select {
			case query := <-askedSecond:
				assert.Equal(t, "", query, name)
			case <-time.After(20 * time.Second):
				t.Fatal(name, "not heard")
			}
			require.NoError(t, process.Process.Signal(syscall.SIGTERM))
		}
		select {
		case err := <-ended:
			assert.NoError(t, err, name)
		case <-time.After(20 * time.Second):
			t.Fatal(name, "not heard")
		}
	}
	assert.LessOrEqual(t, len(askedFirst), 2)
}

// SIGHUP comes while a node drains, or together with SIGTERM: the list is followed at its new address all the same, since the
// one at the old one counts no more.
func TestNewConfigurationDuringTheDrain(t *testing.T) {
	inHand := make(chan bool, 1)
	w := start(t, 256, func(_ http.ResponseWriter, r *http.Request) {
		inHand <- true
		<-r.Context().Done() // keeps the drain from ending
	})
	slow := make(chan int, 1)
	go func() {
		status, _, _, _ := w.ask(fresh(), "POST", "slow", "pay", "4000")
		slow <- status
	}()
	<-inHand
	next, asked := list(t)
	whole, err := os.ReadFile(w.file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(w.file, discoveryKey.ReplaceAll(whole, fmt.Appendf(nil, `"discovery":%q`, next)), 0o600))
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { // the drain has begun
		answer, err := http.Get("http://" + w.address + "/_health")
		return err == nil && answer.Body.Close() == nil && answer.StatusCode == http.StatusServiceUnavailable
	}, 5*time.Second, time.Millisecond)
	require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
	assert.Equal(t, "", <-asked)
	assert.Equal(t, 502, <-slow)
	assert.NoError(t, <-w.ended)
}

// A node all of whose requests are short is told to end: it closed its listener at once, though new connections go on coming for
// 0.2 to 0.4 s, and each was refused or closed with no answer.
func TestAnEndAmongShortOps(t *testing.T) {
	w := startWith(t, strings.NewReplacer(`"ttl":6000`, `"ttl":250`, `"ttl":4000`, `"ttl":250`).Replace(settings), 256,
		func(http.ResponseWriter, *http.Request) {})
	kept := fresh()
	_, _, _, err := w.ask(kept, "GET", "before", "check", "250")
	require.NoError(t, err)
	begun := time.Now()
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	<-time.After(250 * time.Millisecond) // a client that comes late, to a listener whose queue was empty meanwhile
	for name, client := range map[string]*http.Client{"new": fresh(), "kept": kept} {
		status, _, _, err := w.ask(client, "GET", name, "check", "250")
		require.NoError(t, err, name)
		assert.Equal(t, 200, status, name)
	}
	assert.NoError(t, <-w.ended)
	assert.Less(t, time.Since(begun), 950*time.Millisecond, "before SIGKILL")
}
