package capture

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

// Explain prints every backend that the balancer considered for a request, with its reason, before the decision.
func TestExplainPrintsConsideredBackends(t *testing.T) {
	records := captureRecords(t, "cold-rush", 25, 0)
	reasons := map[string]int{}
	for _, request := range []uint64{5, 200, 400, 500, 600, 700, 800} {
		var explanation bytes.Buffer
		explainer := &Explainer{RequestNumber: request, Out: &explanation}
		for _, record := range records {
			require.NoError(t, explainer.Feed(record), "explaining changes no decision")
		}
		require.True(t, explainer.Found())
		text := explanation.String()
		arrived := bytes.Index(explanation.Bytes(), []byte("arrived request"))
		decided := bytes.Index(explanation.Bytes(), []byte("decided: "))
		considered := bytes.Index(explanation.Bytes(), []byte("    "))
		assert.True(t, arrived >= 0 && arrived < considered && considered < decided, text)
		if !bytes.Contains(explanation.Bytes(), []byte(balancer.ReasonPoisonRequest.String())) { // no backend was considered
			assert.Contains(t, text, " ms expected")
		}
		for reason := balancer.Eligible; reason <= balancer.ReasonQueued; reason++ {
			reasons[reason.String()] += bytes.Count(explanation.Bytes(), []byte(": "+reason.String()+";"))
		}
	}
	assert.Positive(t, reasons[balancer.Eligible.String()])
	assert.Greater(t, len(reasons), 1)
	ineligible := 0
	for name, count := range reasons {
		if name != balancer.Eligible.String() {
			ineligible += count
		}
	}
	assert.Positive(t, ineligible, reasons)
	explainer := &Explainer{RequestNumber: 1 << 40, Out: io.Discard}
	for _, record := range records {
		require.NoError(t, explainer.Feed(record))
	}
	assert.False(t, explainer.Found())
}

// Lists, answers and ends of attempts that arrive late are reported at the record of their arrival.
func TestLateArrivalsAreDetected(t *testing.T) {
	attempt := func(request, backend uint64, now float64) Record {
		return Record{Kind: Decided, Decision: balancer.DoAttempt, Now: now, Request: request, Backend: backend}
	}
	end := func(request uint64, now float64, flags uint64) Record {
		return Record{Kind: AttemptEnded, Outcome: balancer.OutcomeAnswered, Now: now, Request: request, Flags: flags}
	}
	var notes LateArrivalDetector
	for _, test := range []struct {
		record Record
		want   string
	}{
		{Record{Kind: EndpointsChanged, Endpoints: []Endpoint{{Backend: 1, Started: 50}}}, ""},
		{Record{Kind: EndpointsChanged, Endpoints: []Endpoint{{Backend: 1, Started: 40}}}, "older than what is known of backend 1"},
		{attempt(1, 1, 10), ""},
		{attempt(2, 1, 20), ""},
		{end(2, 30, flagFinished), ""},
		{end(1, 31, flagFinished), "overtaken by an answer to a later attempt"},
		{attempt(3, 1, 40), ""},
		{Record{Kind: Decided, Decision: balancer.DoReject, Request: 3, Now: 41}, ""},
		{end(3, 45, 0), "after the request's final answer"},
	} {
		assert.Equal(t, test.want, notes.Check(test.record), test.record)
	}
	assert.Empty(t, notes.answered)
	assert.Empty(t, notes.inFlight)
}
