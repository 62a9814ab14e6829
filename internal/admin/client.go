package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
)

// Ask makes a call and gives the answer's line; yes tells what it begins with.
func Ask(ctx context.Context, address, line string) (answer string, yes bool, err error) {
	var d net.Dialer
	to, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return "", false, err
	}
	defer to.Close()
	if until, ok := ctx.Deadline(); ok {
		_ = to.SetDeadline(until)
	}
	defer context.AfterFunc(ctx, func() { _ = to.Close() })()
	if _, err := io.WriteString(to, line+"\n"); err != nil {
		return "", false, err
	}
	answer, err = bufio.NewReader(io.LimitReader(to, 4<<10)).ReadString('\n')
	if err != nil {
		return "", false, fmt.Errorf("no answer: %w", err)
	}
	answer = strings.TrimSpace(answer)
	switch word, _, _ := strings.Cut(answer, " "); word {
	case "YES":
		return answer, true, nil
	case "NO":
		return answer, false, nil
	}
	return "", false, fmt.Errorf("odd answer %.60q", answer)
}
