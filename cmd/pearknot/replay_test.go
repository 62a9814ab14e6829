package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// During an upgrade the id of an at-most-once request comes again at the other process, while the first process has it or after
// its client has left there, in both directions. It runs once.
func TestIDRunsOnceInTwoProcesses(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		for _, reversed := range []bool{true, false} {
			t.Run(fmt.Sprintf("client leaves %v, first at the new process %v", leaves, reversed), func(t *testing.T) {
				node := startCrowdNode(t, 64, nil)
				old := node.process
				node.startProcess()
				first, second := old.Process.Pid, node.process.Process.Pid
				if reversed {
					first, second = second, first
				}
				conn := node.connectTo(first)
				sendPayment(t, conn, "twice")
				require.Eventually(t, func() bool { return node.startedAttempts("twice") == 1 }, 5*time.Second, time.Millisecond)
				if leaves {
					require.NoError(t, conn.Close())
					time.Sleep(100 * time.Millisecond)
				}
				conn = node.connectTo(second)
				sendPayment(t, conn, "twice")
				assert.Equal(t, http.StatusConflict, readStatus(t, conn))
				assert.Equal(t, 1, node.startedAttempts("twice"))
			})
		}
	}
}

// sendPayment sends an at-most-once request whose answer is held.
func sendPayment(t *testing.T, conn net.Conn, id string) { sendPaymentTo(t, conn, "/hold", id) }

// sendPaymentTo sends an at-most-once request.
func sendPaymentTo(t *testing.T, conn net.Conn, path, id string) {
	_, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: s\r\nX-Trace-Id: "+id+"\r\nX-Qos: pay\r\nX-Expires-In-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
}

// connectTo returns a connection that the process has accepted: the system deals them out among those that listen.
func (node *crowdNode) connectTo(pid int) net.Conn {
	for range 200 {
		conn, err := net.Dial("tcp", node.address)
		require.NoError(node.t, err)
		for until := time.Now().Add(20 * time.Millisecond); time.Now().Before(until); time.Sleep(time.Millisecond) {
			if hasSocket(pid, acceptedInode(conn)) {
				node.t.Cleanup(func() { _ = conn.Close() })
				return conn
			}
		}
		_ = conn.Close()
	}
	node.t.Fatal("no connection to the process")
	return nil
}

// acceptedInode returns the inode of the other end's socket of a connection to this machine; empty until it is accepted.
func acceptedInode(conn net.Conn) string {
	const localField, remoteField, inodeField = 1, 2, 9
	table, _ := os.ReadFile("/proc/net/tcp")
	local := fmt.Sprintf(":%04X", conn.RemoteAddr().(*net.TCPAddr).Port)
	remote := fmt.Sprintf(":%04X", conn.LocalAddr().(*net.TCPAddr).Port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], local) && strings.HasSuffix(fields[remoteField], remote) {
			return fields[inodeField]
		}
	}
	return ""
}

func hasSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	files, _ := os.ReadDir(dir)
	for _, file := range files {
		if target, err := os.Readlink(dir + file.Name()); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// startedAttempts returns how many attempts of a request have begun at the node's backends.
func (node *crowdNode) startedAttempts(id string) (count int) {
	for _, backend := range node.backends {
		backend.mu.Lock()
		count += backend.started[id]
		backend.mu.Unlock()
	}
	return count
}

// replayForm is a way in which an at-most-once request's id comes again.
type replayForm struct {
	path             string // of the first request: whether its answer is held
	clientLeaves     bool
	beginsBefore     bool // it is sent before the new process starts
	processIsKilled  bool // the old process gets a SIGKILL before the id comes again; if not, it is told to end
	secondAtOldFirst bool // the id comes again at the old process, before that ends
}

// The id of an at-most-once request that may have run comes again, at the process that had it or at the one that has replaced that. It runs
// once, whether the first client has left, has its answer, or has lost its connection with the process.
func TestIDRunsOnceWhenProcessHasEnded(t *testing.T) {
	for _, form := range []replayForm{
		{path: "/hold", clientLeaves: true, beginsBefore: true},
		{path: "/hold", clientLeaves: true},
		{path: "/hold", clientLeaves: true, beginsBefore: true, processIsKilled: true},
		{path: "/hold", beginsBefore: true, processIsKilled: true},
		{path: "/hold", processIsKilled: true},
		{path: "/api", beginsBefore: true},
		{path: "/api", processIsKilled: true, secondAtOldFirst: true},
	} {
		t.Run(fmt.Sprintf("%+v", form), func(t *testing.T) { playReplay(t, form) })
	}
}

func playReplay(t *testing.T, form replayForm) {
	node := startCrowdNode(t, 64, nil)
	old := node.process
	if !form.beginsBefore {
		node.startProcess()
	}
	conn := node.connectTo(old.Process.Pid)
	sendPaymentTo(t, conn, form.path, "twice")
	require.Eventually(t, func() bool { return node.startedAttempts("twice") == 1 }, 5*time.Second, time.Millisecond)
	switch {
	case form.path == "/api":
		assert.Equal(t, http.StatusOK, readStatus(t, conn))
	case form.clientLeaves:
		require.NoError(t, conn.Close())
		time.Sleep(100 * time.Millisecond)
	}
	if form.secondAtOldFirst {
		conn = node.connectTo(old.Process.Pid)
		sendPaymentTo(t, conn, form.path, "twice")
		assert.Equal(t, http.StatusConflict, readStatus(t, conn))
	}
	if form.beginsBefore {
		node.startProcess()
	}
	if form.processIsKilled {
		require.NoError(t, old.Process.Kill())
	} else {
		require.NoError(t, old.Process.Signal(syscall.SIGTERM))
	}
	_ = old.Wait()
	conn = node.connectTo(node.process.Process.Pid)
	sendPaymentTo(t, conn, form.path, "twice")
	assert.Equal(t, http.StatusConflict, readStatus(t, conn))
	assert.Equal(t, 1, node.startedAttempts("twice"))
	sendPaymentTo(t, node.connectTo(node.process.Process.Pid), "/api", "another") // others are served
	require.Eventually(t, func() bool { return node.startedAttempts("another") == 1 }, 5*time.Second, time.Millisecond)
}

// readStatus returns the status of the answer on a connection.
func readStatus(t *testing.T, conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
