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
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(t *testing.T, handler Handler) *Server {
	t.Helper()
	server, err := Start("127.0.0.1:0", handler, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, server.Close()) })
	return server
}

// echo answers with the command, and fails for the backend "never".
func echo(_ context.Context, command Command) (string, error) {
	if command.Backend == "never" {
		return "", errors.New("never\nlisted")
	}
	return string(command.Verb) + " " + command.Backend, nil
}

// Commands are answered in one line. A line may end with the connection instead of a newline, only the first line of a
// connection is executed, and a line that is too long is rejected before it is read to its end.
func TestCommands(t *testing.T) {
	server := startServer(t, echo)
	for line, want := range map[string]string{
		"cordon a":     "YES cordon a",
		"cordon never": "NO never listed",
		"what":         `NO unknown call "what"`,
	} {
		answer, isYes, err := SendLine(t.Context(), server.Address(), line)
		require.NoError(t, err)
		assert.Equal(t, want, answer)
		assert.Equal(t, strings.HasPrefix(want, "YES"), isYes)
	}
	for sent, want := range map[string]string{
		"health":                        "YES health\n",
		"health\nhealth\n":              "YES health\n",
		strings.Repeat("x", 1<<20):      "NO a line of more than 512 bytes\n",
		strings.Repeat("x", 600) + "\n": "NO a line of more than 512 bytes\n",
		"":                              "",
	} {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		go func() {
			_, _ = io.WriteString(conn, sent)
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
		answer, _ := io.ReadAll(conn)
		assert.Equal(t, want, string(answer), "%.20q", sent)
		_ = conn.Close()
	}
}

// More callers connect than the server accepts, and send nothing. A health check must not wait for them: the one that has
// been silent for longest is disconnected, and the latest may still send its line.
func TestSilentCallers(t *testing.T) {
	server := startServer(t, echo)
	var silent []net.Conn
	for range 3 * maxCallers {
		conn, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		defer conn.Close()
		silent = append(silent, conn)
	}
	startedAt := time.Now()
	answer, isYes, err := SendLine(t.Context(), server.Address(), "health")
	require.NoError(t, err)
	assert.True(t, isYes, answer)
	assert.Less(t, time.Since(startedAt), time.Second)
	_, err = silent[0].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	latest := silent[len(silent)-1]
	_, err = io.WriteString(latest, "health\n")
	require.NoError(t, err)
	received, _ := io.ReadAll(latest)
	assert.Equal(t, "YES health\n", string(received))
}

// A command that takes longer than commandTimeout is answered with NO in time, and does not delay another one.
func TestSlowCommandTimesOut(t *testing.T) {
	server := startServer(t, func(ctx context.Context, command Command) (string, error) {
		if command.Verb == Health {
			return "", nil
		}
		<-ctx.Done()
		return "", ctx.Err()
	})
	slowAnswer := make(chan string)
	startedAt := time.Now()
	go func() {
		answer, _, _ := SendLine(context.Background(), server.Address(), "quiesce")
		slowAnswer <- answer
	}()
	answer, _, err := SendLine(t.Context(), server.Address(), "health")
	require.NoError(t, err)
	assert.Equal(t, "YES", answer)
	assert.Equal(t, "NO context deadline exceeded", <-slowAnswer)
	assert.Less(t, time.Since(startedAt), 5*time.Second)
}
