package scale

import (
	"context"
	"fmt"
	"net/http"

	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
)

// hollowConfig is a hollow process's configuration file: its nodes, and the control socket on which it answers for them.
type hollowConfig struct {
	Socket      string
	StoreCopies bool    `json:"Copies"`
	ReadMs      float64 // that a hollow node waits before it applies a version, as long as a real one reads, without the processor's work
	Nodes       []hollowNode
}

type hollowNode struct {
	Name string
	File string // of the control plane
}

// hollowPath is where a hollow process answers: ?since=N has the versions applied after the Nth, &nodes=1 each node's state.
const hollowPath = "/v1/hollow"

// hollowReport is the answer.
type hollowReport struct {
	Seq        int            // number of the last event
	Events     []appliedEvent // after the one asked for
	Nodes      []hollowState  // by the process's numbers
	LatenessMs [2]float64     `json:"LateMs"` // of the process's timers since its start: Lateness.MaxMs and SumMs
}

// appliedEvent is a version that a node has applied.
type appliedEvent struct {
	Node    int // by the process's numbers
	Version uint64
	Digest  string  // of the text that the node was given to apply
	At      float64 // Unix ms
}

// hollowState is a node's own account of its state.
type hollowState struct {
	StoredVersion   uint64 `json:"Held"`
	AppliedVersion  uint64 `json:"InForce"`
	RejectedVersion uint64 `json:"Refused"`
	Member          string
	client.Counters
}

// hollowClient asks a hollow process for its nodes.
type hollowClient struct {
	socket *controlsocket.Client
	nodes  []int // numbers in the site, by the process's
	seq    int   // of the last event that was received
}

// nextEvents returns the events since the last call. Events already received need not be stored there any more.
func (c *hollowClient) nextEvents(ctx context.Context) ([]appliedEvent, error) {
	var report hollowReport
	if err := c.socket.Call(ctx, http.MethodGet, fmt.Sprintf("%s?since=%d", hollowPath, c.seq), nil, &report); err != nil {
		return nil, err
	}
	c.seq = report.Seq
	return report.Events, nil
}

// nodeStates returns each node's state.
func (c *hollowClient) nodeStates(ctx context.Context) (report hollowReport, err error) {
	err = c.socket.Call(ctx, http.MethodGet, hollowPath+"?since=0&nodes=1", nil, &report)
	return report, err
}

func (report *hollowReport) lateness() Lateness {
	return Lateness{MaxMs: report.LatenessMs[0], SumMs: report.LatenessMs[1]}
}
