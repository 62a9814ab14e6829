package main

import (
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fewDescriptors leaves a node fewer connections than a crowd opens.
const fewDescriptors = 256

// Clients hold all connections that a node accepts, by requests whose answers take long or that they do not read. Other clients'
// requests, on new connections, get an answer in their time, if only a rejection.
func TestRequestsThatWaitForAConnectionAreAnsweredInTime(t *testing.T) {
	for _, kind := range crowdKinds() {
		switch kind.name {
		case "wait for answers with bodies sent", "read nothing of long answers", "read long answers slowly":
		default:
			continue
		}
		t.Run(kind.name, func(t *testing.T) {
			node := startCrowdNodeWith(t, 192, fewDescriptors, nil)
			crowd := &crowd{dial: node.dial, kinds: []crowdKind{kind}, size: crowdSize}
			defer crowd.start()()
			others := node.sendBeside(2*otherTTL, otherTTL)
			t.Logf("others: %v", others)
			for _, other := range others {
				assert.Less(t, other.elapsed, otherTTL+answerSlack)
				assert.NotZero(t, other.status)
			}
			assert.False(t, node.log.hasEnded())
		})
	}
}

// waitWithLongTTL is a kind of client whose requests may wait for longer than those of other clients.
var waitWithLongTTL = crowdKind{"wait with a long time to live", func(conn net.Conn, id string) {
	head := strings.Replace(requestHead("GET", "/long", id, "\r\n"), "-In-Ms: 4000", "-In-Ms: 20000", 1)
	_, _ = io.WriteString(conn, head)
	readSlowly(conn, 64<<10)
}}

// slowWriters are kinds of clients whose requests never arrive completely while they wait.
func slowWriters() (kinds []crowdKind) {
	for _, kind := range crowdKinds() {
		switch kind.name {
		case "write heads slowly", "write bodies slowly", "stop within a chunked body", "read long answers slowly":
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// Clients that write slowly, or whose requests may wait for long, are first in the queue of a node whose connections are all in use. They do
// not delay the answers to the requests behind them, also while the node is upgraded.
func TestSlowWritersInTheQueueDelayNoAnswers(t *testing.T) {
	forms := []struct {
		name       string
		kinds      []crowdKind
		ttl        time.Duration
		isUpgraded bool
	}{
		{"write slowly", slowWriters(), otherTTL, false},
		{"wait with a long time to live", []crowdKind{waitWithLongTTL}, otherTTL / 2, false},
		{"write slowly, upgrade", slowWriters(), otherTTL, true},
	}
	for _, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			node := startCrowdNodeWith(t, 192, fewDescriptors, nil)
			crowd := &crowd{dial: node.dial, kinds: form.kinds, size: crowdSize}
			defer crowd.start()()
			if form.isUpgraded {
				time.AfterFunc(time.Second, node.upgrade)
			}
			others := node.sendBeside(2*otherTTL, form.ttl)
			t.Logf("others: %v", others)
			late := slices.DeleteFunc(others, func(o otherRequest) bool { return o.status != 0 && o.elapsed < form.ttl+answerSlack })
			assert.Empty(t, late)
			assert.False(t, node.log.hasEnded())
		})
	}
}

// upgrade replaces the node's process.
func (node *crowdNode) upgrade() {
	old := node.process
	node.startProcess()
	_ = old.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(killAfterTerm, func() { _ = old.Process.Kill() })
	_ = old.Wait()
	kill.Stop()
}
