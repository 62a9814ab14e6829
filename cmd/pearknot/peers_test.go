package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/faultproxy"
)

// The process that took a request is killed. A retry with the request's key gets the same outcome at any node, and the request
// ran once.
func TestRequestSurvivesItsNode(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	defer cluster.checkOutcomes()
	status, text := cluster.send(0, "pay", "pay-calm", "4000", "x")
	require.Equal(t, 200, status, text)
	require.Equal(t, "run 1 of pay-calm x", text)
	status, text = cluster.send(1, "pay", "pay-calm", "4000", "x")
	require.Equal(t, 200, status, "the recorded answer, at another node")
	require.Equal(t, "run 1 of pay-calm x", text)
	status, _ = cluster.send(2, "pay", "pay-calm", "4000", "another body")
	require.Equal(t, 422, status)

	// The same key at three nodes at once, while the first attempt is in flight.
	started, unblock := cluster.blockFirstAttempt("pay-twice")
	var both sync.WaitGroup
	for k := range 3 {
		both.Add(1)
		go func() {
			defer both.Done()
			status, text := cluster.send(k, "pay", "pay-twice", "6000", "y")
			assert.Equal(t, 200, status, text)
		}()
	}
	<-started
	close(unblock)
	both.Wait()

	// The node is killed with two attempts in flight: one that may have run and must not run twice, and one that may run
	// again.
	started, unblock = cluster.blockFirstAttempt("pay-lost")
	defer close(unblock)
	started2, unblock2 := cluster.blockFirstAttempt("check-lost")
	defer close(unblock2)
	for key, class := range map[string]string{"pay-lost": "pay", "check-lost": "check"} {
		go cluster.send(0, class, key, "8000", "z")
	}
	<-started
	<-started2
	killedAt := time.Now()
	cluster.kill(0)
	status, text = cluster.send(1, "check", "check-lost", "6000", "z")
	require.Equal(t, 200, status, text)
	require.Equal(t, "run 2 of check-lost z", text, "its successor has sent it again")
	status, text = cluster.send(2, "pay", "pay-lost", "6000", "z")
	require.Equal(t, 502, status, "it is unknown whether it ran: %s", text)
	require.Less(t, time.Since(killedAt), 4*time.Second)
	require.Equal(t, 1, cluster.attemptsOf("pay-lost"))

	// Its next incarnation joins, and gets the records of the others.
	cluster.start(0)
	cluster.waitUntilComplete()
	status, _ = cluster.send(0, "pay", "pay-lost", "4000", "z")
	require.Equal(t, 502, status)
	status, text = cluster.send(0, "pay", "pay-calm", "4000", "x")
	require.Equal(t, 200, status, text)
}

// A node is frozen with an attempt in flight, and resumed after its request was taken over. It reports no other outcome than its
// successor.
func TestFrozenNodeIsFenced(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	defer cluster.checkOutcomes()
	started, unblock := cluster.blockFirstAttempt("pay-frozen")
	statuses := make(chan int, 1)
	go func() {
		status, _ := cluster.send(0, "pay", "pay-frozen", "8000", "x")
		statuses <- status
	}()
	<-started
	require.NoError(t, cluster.nodes[0].cmd.Process.Signal(syscall.SIGSTOP))
	status, text := cluster.send(1, "pay", "pay-frozen", "6000", "x")
	require.Equal(t, 502, status, text)
	close(unblock) // its answer waits in the socket of the frozen process
	require.NoError(t, cluster.nodes[0].cmd.Process.Signal(syscall.SIGCONT))
	status = <-statuses
	require.Contains(t, []int{409, 502}, status, "asked to retry, or given what the successor has recorded")
	cluster.waitUntilComplete()
	status, _ = cluster.send(0, "pay", "pay-frozen", "4000", "x")
	require.Equal(t, 502, status)
}

// A node is cut off from its peers, but not from clients and backends. Requests whose class needs a quorum are rejected at
// once, the others are served, and what was in flight is taken over. When the links heal, the logs become complete again.
func TestIsolatedNodeAppliesClassPolicies(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	defer cluster.checkOutcomes()
	started, unblock := cluster.blockFirstAttempt("pay-cut")
	statuses := make(chan int, 1)
	go func() {
		status, _ := cluster.send(0, "pay", "pay-cut", "5000", "x")
		statuses <- status
	}()
	<-started
	for k := 1; k < 3; k++ {
		cluster.proxies[0][k].SetFault(faultproxy.Fault{Stalled: true})
		cluster.proxies[k][0].SetFault(faultproxy.Fault{Stalled: true})
	}
	status, text := cluster.send(1, "pay", "pay-cut", "4500", "x")
	require.Equal(t, 502, status, text)
	close(unblock)
	require.Contains(t, []int{409, 502}, <-statuses, "it has an answer, and no quorum to record it")
	require.Eventually(t, func() bool { // it detects the cut within about a second
		out, err := exec.Command(nodeProgram, "peers", cluster.nodes[0].control, "--json").Output()
		return err != nil && strings.Count(string(out), `"linked":false`) == 2
	}, 10*time.Second, 10*time.Millisecond)
	startedAt := time.Now()
	status, _ = cluster.send(0, "pay", "pay-alone", "8000", "x")
	require.Equal(t, 503, status)
	require.Less(t, time.Since(startedAt), 2*time.Second, "answered at once, not queued")
	require.Zero(t, cluster.attemptsOf("pay-alone"))
	require.Eventually(t, func() bool { // once the balancer no longer takes the blocked request's time for congestion
		status, _ := cluster.send(0, "check", "check-alone", "4000", "x")
		return status == 200
	}, 10*time.Second, 50*time.Millisecond)
	for k := 1; k < 3; k++ {
		cluster.proxies[0][k].SetFault(faultproxy.Fault{})
		cluster.proxies[k][0].SetFault(faultproxy.Fault{})
	}
	cluster.waitUntilComplete()
	require.Eventually(t, func() bool {
		status, _ := cluster.send(0, "pay", "pay-alone", "3000", "x")
		return status == 200
	}, 10*time.Second, 50*time.Millisecond)
}

// An answer that is too long for the log is given to the client that sent the request. Others that ask with the key learn only
// that it was served.
func TestLongAnswersAreNotLogged(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	for k, want := range []int{1 << 20, 0} {
		request, err := http.NewRequest("POST", "http://"+cluster.nodes[k].address+"/pay", strings.NewReader("x"))
		require.NoError(t, err)
		for name, value := range map[string]string{"X-Trace-Id": fmt.Sprint("l", k), "X-Qos": "pay", "X-Expires-In-Ms": "4000", "Idempotency-Key": "long"} {
			request.Header.Set(name, value)
		}
		response, err := newClient().Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, 200, response.StatusCode)
		require.Len(t, body, want)
		require.Equal(t, map[bool]string{false: "not kept"}[want > 0], response.Header.Get("Pearknot-Answer"))
	}
	require.Equal(t, 1, cluster.attemptsOf("long"))
}

// A client leaves while the record of its request's attempt is in transit, because the links between the processes are slow, or
// are cut at that moment. Its request must never run. Its key is free afterwards, unless a successor has taken the request over
// meanwhile, which can't know that it never ran.
func TestClientLeavesBeforeItsAttemptIsRecorded(t *testing.T) {
	cluster := newTestCluster(t, 3, 3)
	defer cluster.checkOutcomes()
	closeConn := func(conn net.Conn) { _ = conn.Close() }
	resetConn := func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	for name, c := range map[string]struct {
		disconnect func(net.Conn)
		cut        bool
	}{
		"end":            {closeConn, false},
		"reset":          {resetConn, false},
		"end in a cut":   {closeConn, true},
		"reset in a cut": {resetConn, true},
	} {
		cluster.waitUntilLeadsOwnLog(0)
		slow := faultproxy.Fault{Delay: 200 * time.Millisecond}
		cluster.setLinksOfNode0(slow)
		keys := cluster.sendUntilInFlight(name, func(conns []net.Conn) {
			cluster.setLinksOfNode0(faultproxy.Fault{Delay: slow.Delay, Stalled: c.cut})
			for _, conn := range conns {
				c.disconnect(conn)
			}
		})
		require.Eventually(t, func() bool { return cluster.openRequests(0) == 0 }, 10*time.Second, 10*time.Millisecond)
		cluster.setLinksOfNode0(faultproxy.Fault{})
		cluster.waitUntilComplete()
		for _, key := range keys {
			require.Zero(t, cluster.attemptsOf(key), key)
			require.Eventually(t, func() bool {
				status, text := cluster.send(1, "pay", key, "3000", "x")
				return status == 200 && text == "run 1 of "+key+" x" || status == 502 && c.cut
			}, 10*time.Second, 50*time.Millisecond, key)
		}
	}
}
