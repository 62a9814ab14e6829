package hotrestart

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// where is a path short enough for a socket.
func where(t *testing.T) string {
	dir, err := os.MkdirTemp("", "pk")
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return SocketPath(dir, "n1")
}

// offer is a process that runs.
func offer(t *testing.T, path string, alone chan<- bool) *Listener {
	o, err := Listen(path, Owner{Name: "n1", Log: slog.New(slog.DiscardHandler), OnSuccessorGone: func() { alone <- true },
		State: func(context.Context) (*State, error) {
			return &State{Known: []string{"s-1"}, Module: []byte{1, 2}}, nil
		},
		HandleCall: func(_ context.Context, c Call) (string, error) {
			if c.ID == "" {
				return "", errors.New("no id")
			}
			return "older " + c.Verb + " " + c.ID, nil
		}})
	require.NoError(t, err)
	t.Cleanup(o.Close)
	return o
}

func newer(_ context.Context, c Call) (string, error) { return "newer " + c.Verb, nil }

// Two processes of a node: state, calls both ways, descriptors given back, and each hears that the other has ended.
func TestLink(t *testing.T) {
	path, alone := where(t), make(chan bool, 1)
	o := offer(t, path, alone)
	assert.Nil(t, o.Successor())
	used := make(chan int, 1)
	l, s, err := Connect(t.Context(), path, "n1", newer, func(n int) { used <- n })
	require.NoError(t, err)
	assert.Equal(t, &State{Known: []string{"s-1"}, Module: []byte{1, 2}}, s)
	text, err := l.Call(t.Context(), Call{Verb: "cordon", ID: "s-1"})
	require.NoError(t, err)
	assert.Equal(t, "older cordon s-1", text)
	_, err = l.Call(t.Context(), Call{Verb: "cordon"})
	assert.EqualError(t, err, "no id")
	text, err = o.Successor().Call(t.Context(), Call{Verb: "quiesce"})
	require.NoError(t, err)
	assert.Equal(t, "newer quiesce", text)
	select {
	case <-o.Successor().PeerReady():
		t.Fatal("it has not said that it serves")
	default:
	}
	require.NoError(t, l.SendReady())
	require.NoError(t, l.SendReady(), "said twice")
	<-o.Successor().PeerReady()
	o.Successor().SendDescriptorLimit(17)
	assert.Equal(t, 17, <-used)

	// A third waits until the second is gone, and follows the first then.
	third := make(chan error, 1)
	go func() {
		l, _, err := Connect(t.Context(), path, "n1", newer, nil)
		if err == nil {
			l.Close()
			<-l.Done()
		}
		third <- err
	}()
	l.Close()
	assert.True(t, <-alone)
	<-l.Done()
	_, err = l.Call(t.Context(), Call{Verb: "resume"})
	assert.ErrorIs(t, err, ErrNoPeer)
	require.NoError(t, <-third)
	assert.True(t, <-alone)

	l, _, err = Connect(t.Context(), path, "n1", newer, nil)
	require.NoError(t, err)
	o.Close() // ended in order: it is not alone, it is gone
	<-l.Done()
	assert.Empty(t, alone)
}

// What stands at the path may be anything: nobody, a file, somebody else, one that says nothing or odd things. The new
// process starts fresh, and says why where somebody was there.
func TestNothingToFollow(t *testing.T) {
	speak := func(what string) func(t *testing.T, path string) {
		return func(t *testing.T, path string) {
			l, err := net.Listen("unix", path)
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, what)
					if what != "" {
						_, _ = c.Read(make([]byte, 999))
						_ = c.Close()
					} else {
						t.Cleanup(func() { _ = c.Close() })
					}
				}
			}()
		}
	}
	frame := func(body string) string { return "\x00\x00\x00" + string(rune(len(body))) + body }
	for name, c := range map[string]struct {
		stands func(t *testing.T, path string)
		why    string
	}{
		"nobody": {func(*testing.T, string) {}, ""},
		"a killed one": {func(t *testing.T, path string) {
			l, _ := net.ListenUnix("unix", &net.UnixAddr{Name: path})
			l.SetUnlinkOnClose(false)
			_ = l.Close()
		}, ""},
		"a file":            {func(t *testing.T, path string) { require.NoError(t, os.WriteFile(path, []byte("x"), 0o600)) }, ""},
		"another node's":    {func(t *testing.T, path string) { offer(t, path, nil).o.Name = "n1" }, "speaks version"},
		"silent":            {speak(""), "i/o timeout"},
		"cut off":           {speak("\x00\x00\x01\x00{"), "EOF"},
		"endless":           {speak("\xff\xff\xff\xff"), "message of 4294967295 bytes"},
		"no text":           {speak(frame("hello")), "invalid character"},
		"of another build":  {speak(frame(`{"Kind":"state","Version":9,"State":{}}`)), "speaks version 9"},
		"state without one": {speak(frame(`{"Kind":"state","Version":1}`)), "speaks version"},
		"nothing meant":     {speak(frame(`{}`)), "no kind"},
	} {
		t.Run(name, func(t *testing.T) {
			path, node := where(t), "n1"
			c.stands(t, path)
			if name == "another node's" {
				node = "n2"
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			l, s, err := Connect(ctx, path, node, newer, nil)
			assert.Nil(t, l)
			assert.Nil(t, s)
			if c.why == "" {
				assert.NoError(t, err)
			} else {
				assert.ErrorContains(t, err, c.why)
			}
			if name != "silent" && !strings.Contains(name, "another") { // it takes the place for itself
				o, err := Listen(path, Owner{Name: "n1", Log: slog.New(slog.DiscardHandler)})
				require.NoError(t, err)
				o.Close()
			}
		})
	}
	_, err := Listen(filepath.Join(t.TempDir(), "none", "x"), Owner{})
	assert.Error(t, err, "told, not a panic")
}
