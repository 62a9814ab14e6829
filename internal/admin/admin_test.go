package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestLines(t *testing.T) {
	for line, want := range map[string]string{
		"health":                             "YES health ",
		"health\r":                           "YES health ",
		"  cordon \t s-1 ":                   "YES cordon s-1",
		"uncordon s-é":                       "YES uncordon s-é",
		"quiesce":                            "YES quiesce ",
		"resume":                             "YES resume ",
		"":                                   "NO an empty line",
		"  ":                                 "NO an empty line",
		"HEALTH":                             `NO unknown call "HEALTH"`,
		"GET / HTTP/1.1":                     `NO unknown call "GET"`,
		"health now":                         "NO a word too many after health",
		"cordon":                             "NO cordon needs a backend's id",
		"cordon s-1 s-2":                     "NO a word too many after cordon",
		"cordon s\x00":                       "NO no text",
		"cordon \xff":                        "NO no text",
		"cordon " + strings.Repeat("x", 512): "NO a line of more than 512 bytes",
		strings.Repeat("x", 100):             `NO unknown call "` + strings.Repeat("x", 40) + `"`,
	} {
		c, err := Parse([]byte(line))
		assert.Equal(t, strings.TrimSpace(want)+"\n", Answer(string(c.Verb)+" "+c.ID, err), line)
	}
	rapid.Check(t, func(t *rapid.T) { // whatever comes, one line goes back
		c, err := Parse(rapid.SliceOf(rapid.Byte()).Draw(t, "line"))
		said := Answer(c.ID, err)
		assert.Regexp(t, "^(YES|NO)( .*)?\n$", said)
	})
}

func open(t *testing.T, do Handler) *Server {
	c, err := Open("127.0.0.1:0", do, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, c.Close()) })
	return c
}

func echo(_ context.Context, c Call) (string, error) {
	if c.ID == "never" {
		return "", errors.New("never\nlisted")
	}
	return string(c.Verb) + " " + c.ID, nil
}

func TestCalls(t *testing.T) {
	c := open(t, echo)
	for line, want := range map[string]string{"cordon a": "YES cordon a", "cordon never": "NO never listed", "what": `NO unknown call "what"`} {
		answer, yes, err := Ask(t.Context(), c.Address(), line)
		require.NoError(t, err)
		assert.Equal(t, want, answer)
		assert.Equal(t, strings.HasPrefix(want, "YES"), yes)
	}
	for sent, want := range map[string]string{
		"health":                        "YES health\n", // ended by the connection's end
		"health\nhealth\n":              "YES health\n", // one line a connection
		strings.Repeat("x", 1<<20):      "NO a line of more than 512 bytes\n",
		strings.Repeat("x", 600) + "\n": "NO a line of more than 512 bytes\n",
		"":                              "",
	} {
		to, err := net.Dial("tcp", c.Address())
		require.NoError(t, err)
		go func() {
			_, _ = io.WriteString(to, sent)
			_ = to.(*net.TCPConn).CloseWrite()
		}()
		answer, _ := io.ReadAll(to)
		assert.Equal(t, want, string(answer), "%.20q", sent)
		_ = to.Close()
	}
}

// Callers that connect and say nothing hold descriptors, and must keep nobody waiting: the one silent for longest goes.
func TestSilentCallers(t *testing.T) {
	c := open(t, echo)
	var silent []net.Conn
	for range 3 * mostCallers {
		to, err := net.Dial("tcp", c.Address())
		require.NoError(t, err)
		defer to.Close()
		silent = append(silent, to)
	}
	begun := time.Now()
	answer, yes, err := Ask(t.Context(), c.Address(), "health")
	require.NoError(t, err)
	assert.True(t, yes, answer)
	assert.Less(t, time.Since(begun), time.Second)
	_, err = silent[0].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	last := silent[len(silent)-1] // the latest may still speak
	_, err = io.WriteString(last, "health\n")
	require.NoError(t, err)
	answered, _ := io.ReadAll(last)
	assert.Equal(t, "YES health\n", string(answered))
}

// A caller waits for a second: what is not done by then is a no, and ends no other call.
func TestSlowCallsEnd(t *testing.T) {
	c := open(t, func(ctx context.Context, c Call) (string, error) {
		if c.Verb == Health {
			return "", nil
		}
		<-ctx.Done()
		return "", ctx.Err()
	})
	slow := make(chan string)
	begun := time.Now()
	go func() {
		answer, _, _ := Ask(context.Background(), c.Address(), "quiesce")
		slow <- answer
	}()
	answer, _, err := Ask(t.Context(), c.Address(), "health")
	require.NoError(t, err)
	assert.Equal(t, "YES", answer)
	assert.Equal(t, "NO context deadline exceeded", <-slow)
	assert.Less(t, time.Since(begun), 5*time.Second)
}
