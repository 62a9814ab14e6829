package requestlog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// testCluster holds three members whose links deliver frames at once if they are up, and drop them otherwise.
type testCluster struct {
	now       float64
	members   [3]*Member
	connected [3][3]bool
	killed    int // index of the killed member; -1 if there is none
	takenOver []Entry
}

func newTestCluster() *testCluster {
	c := &testCluster{now: 1e6, killed: -1}
	for i := range c.members {
		c.members[i] = New(Config{Members: []string{"a", "b", "c"}, Self: i, Incarnation: 1e6, Replicas: 3, Seed: 1, MaxLogBytes: 1 << 20, AnswerTTL: 1e5}, c.now)
	}
	for i := range c.members {
		for j := range i {
			c.connect(i, j, true)
		}
	}
	return c
}

// connect sets the link between two members up or down.
func (c *testCluster) connect(i, j int, up bool) {
	for _, ends := range [][2]int{{i, j}, {j, i}} {
		c.connected[ends[0]][ends[1]] = up
		if up {
			c.members[ends[0]].PeerConnected(c.now, ends[1], c.members[ends[1]].self)
		} else {
			c.members[ends[0]].PeerDisconnected(c.now, ends[1])
		}
	}
}

// run simulates the given time, in ms.
func (c *testCluster) run(ms float64) {
	const step = 5
	for end := c.now + ms; c.now < end; c.now += step {
		for i, member := range c.members {
			if i != c.killed {
				member.Tick(c.now)
			}
		}
		c.deliver()
	}
}

// deliver handles outputs until there are none left.
func (c *testCluster) deliver() {
	for more := true; more; {
		more = false
		for i, member := range c.members {
			for i != c.killed {
				output, ok := member.Next()
				if !ok {
					break
				}
				more = true
				c.handleOutput(i, output)
			}
		}
	}
}

func (c *testCluster) handleOutput(from int, output Output) {
	if output.Frame != nil && c.connected[from][output.To] && output.To != c.killed {
		_ = c.members[output.To].Receive(c.now, from, output.Frame)
	}
	if output.TakenOver != nil {
		c.takenOver = append(c.takenOver, *output.TakenOver)
	}
}

// A request's idempotency key is recognized within one cell only. Its first attempt, in cell 0, never ran because the
// connection failed, but the AttemptEnded record is lost with the link to the log's leader. The link is up again before the
// record is resent, so the record of the second attempt, in cell 1, is committed first. Then the owner fails. Its successor
// must not send the request to a cell where an attempt that may have run is not recognized.
func TestTakeoverAfterLostAttemptEndedRecord(t *testing.T) {
	c := newTestCluster()
	owner := c.members[0]
	c.run(5000)
	key := "k"
	for owner.LogOf(key) != 1 { // a log that another member leads
		key += "k"
	}
	leader, known := owner.leaderOf(1)
	require.True(t, known)
	require.Equal(t, 1, leader)
	request := Request{Idempotency: balancer.IdempotentWithKey, DedupScope: balancer.DedupByCell, DedupWindow: 60e3, Deadline: c.now + 10e3}
	owner.Append(c.now, 1, Record{Kind: AttemptStarted, Key: key, Request: request, Attempt: Attempt{Number: 0, Cell: 0, StartedAt: c.now}}, c.now+1500)
	c.run(20)

	c.connect(0, leader, false)
	owner.Append(c.now, 2, Record{Kind: AttemptEnded, Key: key, Attempt: Attempt{Number: 0, Outcome: balancer.OutcomeConnectFailed}}, c.now+5000)
	c.run(20)
	c.connect(0, leader, true)
	owner.Append(c.now, 3, Record{Kind: AttemptStarted, Key: key, Attempt: Attempt{Number: 1, Cell: 1, StartedAt: c.now}}, c.now+1500)
	c.run(100)

	c.killed = 0
	c.connect(0, 1, false)
	c.connect(0, 2, false)
	c.run(2000)
	require.Len(t, c.takenOver, 1)
	entry := &c.takenOver[0]
	if action, _ := entry.TakeoverAction(c.now); action != ContinueRequest {
		return
	}
	first := entry.UncertainAttempt()
	for _, attempt := range entry.Attempts {
		mayHaveRun := !attempt.Ended || !attempt.Outcome.NeverRan()
		require.False(t, mayHaveRun && attempt.Cell != first.Cell, "continues in cell %d, although attempt %d may have run in cell %d", first.Cell, attempt.Number, attempt.Cell)
	}
}
