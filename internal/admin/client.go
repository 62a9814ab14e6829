package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
)

// maxAnswerBytes bounds the size of an answer that a client reads.
const maxAnswerBytes = 4 << 10

// SendLine sends a command line to an admin address and returns the answer without its newline. isYes reports whether the
// answer is YES or NO. Any other answer is an error, and so is none before ctx is done.
func SendLine(ctx context.Context, address, line string) (answer string, isYes bool, err error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return "", false, err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", false, err
	}
	answer, err = bufio.NewReader(io.LimitReader(conn, maxAnswerBytes)).ReadString('\n')
	if err != nil {
		return "", false, fmt.Errorf("read answer: %w", err)
	}
	answer = strings.TrimSpace(answer)
	switch word, _, _ := strings.Cut(answer, " "); word {
	case "YES":
		return answer, true, nil
	case "NO":
		return answer, false, nil
	}
	return "", false, fmt.Errorf("unexpected answer %.60q", answer)
}
