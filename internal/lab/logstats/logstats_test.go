package logstats

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const nodeLog = `time=x level=INFO msg=serving name=n0
0.1 time=x level=DEBUG msg="dialing backend" backend=s-1 recently_used=0 calls=1
time=x level=DEBUG msg="dialing backend" backend=s-1 recently_used=1 calls=1
time=x level=DEBUG msg="dialing backend" backend=s-1 recently_used=0 calls=2
time=x level=DEBUG msg="attempt ended" request=1 cost_hint=10 attempt=0 backend=a kind=0 after_ms=10 at_ms=1010 outcome=answered
time=x level=DEBUG msg="attempt ended" request=2 cost_hint=10 attempt=0 backend=a kind=0 after_ms=30 at_ms=1070 outcome=answered
time=x level=DEBUG msg="attempt ended" request=3 cost_hint=10 attempt=0 backend=b kind=0 after_ms=10 at_ms=1080 outcome=answered
time=x level=DEBUG msg="attempt ended" request=4 cost_hint=10 attempt=0 backend=a kind=0 after_ms=100 at_ms=1300 outcome=answered
time=x level=DEBUG msg="attempt ended" request=5 cost_hint=10 attempt=1 backend=a kind=0 after_ms=1 at_ms=1400 outcome="no connection"
time=x level=DEBUG msg="request not served" request=5 attempts=2 answer=rejected
`

func TestStats(t *testing.T) {
	stats := New()
	require.NoError(t, stats.Read("n0", strings.NewReader(nodeLog)))
	require.NoError(t, stats.Read("n1", strings.NewReader(strings.ReplaceAll(nodeLog, "backend=a", "backend=c"))))
	stats.ComputeWaits()
	assert.Equal(t, map[string]int{"answered": 8, "no connection": 2}, stats.AttemptOutcomes)
	assert.Equal(t, map[string]int{"none open": 2, "all rest": 2, "all busy": 2}, stats.Dials)
	assert.Equal(t, map[string]int{"rejected after 2 attempts": 2}, stats.NotServed)
	assert.Equal(t, 2, stats.FurtherAttempts)
	assert.Equal(t, Mean{Sum: 40, N: 2}, stats.WaitsAfterNoQueue[0], "sent 30 ms after an answer without a queue")
	assert.Equal(t, Mean{Sum: 180, N: 6}, stats.OtherWaits, "first ones, and one after an answer that met a queue")
	var out strings.Builder
	require.NoError(t, stats.Write(&out))
	assert.Contains(t, out.String(), "under   50 ms    20.0         2 attempts")
}

// A line with an attribute that is no number is an error with its place, so that no figure silently lacks it.
func TestReadMalformedLine(t *testing.T) {
	const malformedLog = "msg=serving\nmsg=\"attempt ended\" attempt=0 outcome=answered at_ms=1 after_ms=x cost_hint=1\n"
	err := New().Read("n0", strings.NewReader(malformedLog))
	assert.EqualError(t, err, `n0:2: after_ms is no number: "x"`)
}
