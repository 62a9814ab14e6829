package scale

import (
	"context"
	"fmt"
	"net/http"

	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
)

// hollowConfig is the configuration file of a hollow process: its nodes, and the control socket on which it reports their state.
type hollowConfig struct {
	Socket      string
	StoreCopies bool    `json:"Copies"`
	ReadMs      float64 // delay before a node applies a version: a real node's reading time, without its processor time
	Nodes       []hollowNode
}

type hollowNode struct {
	Name string
	File string // control plane's configuration file
}

// hollowPath is the path of a hollow process's report: ?since=N returns the events after the Nth, &nodes=1 adds each node's state.
const hollowPath = "/v1/hollow"

// hollowReport is the answer at hollowPath.
type hollowReport struct {
	Seq        int            // number of the last event
	Events     []appliedEvent // after the requested number
	Nodes      []hollowState  // by number in the process
	LatenessMs [2]float64     `json:"LateMs"` // Lateness.MaxMs and SumMs of the process's timers since its start
}

// appliedEvent records that a node has applied a version.
type appliedEvent struct {
	Node    int // number in the process
	Version uint64
	Digest  string  // of the text that the node was given to apply
	At      float64 // Unix ms
}

// hollowState is a node's state as reported by its control-plane client.
type hollowState struct {
	StoredVersion   uint64 `json:"Held"`
	AppliedVersion  uint64 `json:"InForce"`
	RejectedVersion uint64 `json:"Refused"`
	Member          string
	client.Counters
}

// hollowClient reads the reports of a hollow process.
type hollowClient struct {
	socket *controlsocket.Client
	nodes  []int // numbers in the testbed, by number in the process
	seq    int   // number of the last received event
}

// nextEvents returns the events since the last call. The hollow process may then drop the events received before.
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
