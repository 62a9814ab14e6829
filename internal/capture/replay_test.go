package capture

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pearknot/balancer"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/virtual"
)

// incidents maps the incidents of docs/incidents that the lab's model can express to an experiment with the same
// faults.
var incidents = map[string]string{
	"cold-fleet":          "cold-rush",
	"cold-slow-machine":   "crash-and-hang",
	"crowded-zone":        "cut-in-a-burst",
	"lost-zone":           "zone-cut",
	"many-nodes":          "metastable",
	"overdriven":          "burst",
	"releases":            "roll-in-a-shrink",
	"silent-list":         "list-down",
	"no-requests-no-list": "nodes",
	"one-category":        "costly",
}

// A replay takes the same decisions, bit for bit, each of a hundred times, with any number of processors.
func TestReplayMatches(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	for incident, name := range incidents {
		records := captureRecords(t, name, 14, 0)
		for run := range 100 {
			if run%10 == 0 {
				runtime.GOMAXPROCS(1 + run%8)
			}
			result, err := replayRecords(records)
			require.NoError(t, err, incident)
			require.Greater(t, result.Decisions, 30, incident)
			require.Equal(t, len(records), result.Records)
			require.Zero(t, result.Gaps+result.Unverified)
		}
	}
}

// Capturing changes no decision: neither while the disk blocks and records are dropped, nor with a sink that
// discards all records.
func TestRecorderChangesNoDecision(t *testing.T) {
	runExperiment := func(options *Options) string {
		experimentConfig, err := experiment.Read("../../experiments/roll-in-a-shrink.toml")
		require.NoError(t, err)
		experimentConfig.Seconds = 15
		wrap := func(_, _ int, decider balancer.Decider, config *balancer.Config, now float64) balancer.Decider {
			if options == nil {
				return decider
			}
			recorder, err := NewRecorder(decider, now, StartInfo{Config: config}, *options)
			require.NoError(t, err)
			return recorder
		}
		run, err := virtual.Run(experimentConfig, 3, virtual.Options{Wrap: wrap})
		require.NoError(t, err)
		data, err := json.Marshal(run)
		require.NoError(t, err)
		return string(data)
	}
	blocked := make(chan struct{})
	writer, _ := newTestWriter(t, func(config *WriterConfig) {
		config.MaxPendingMB, config.BlockKB = 0.05, 1
		config.create = func(name string) (segment, error) {
			file, err := os.Create(name)
			return &faultyDisk{blocked: blocked, file: file}, err
		}
	})
	withoutRecorder := runExperiment(nil)
	assert.Equal(t, withoutRecorder, runExperiment(&Options{SnapshotIntervalMs: 500, Sink: writer.Put}), "a disk that blocks")
	assert.Positive(t, writer.Dropped())
	close(blocked)
	writer.Close()
	assert.Equal(t, withoutRecorder, runExperiment(&Options{Sink: func(Batch) {}}))
}

// A host reuses request IDs and its clock steps back. The capture has both as they came, and can be replayed.
func TestReplayWithReusedIDsAndClockSteps(t *testing.T) {
	config := &balancer.Config{
		Seed:           2,
		Nodes:          1,
		MaxAttempts:    2,
		AllowHedging:   true,
		OverloadWindow: 100,
		Classes:        []balancer.Class{{LatencyObjective: 100, PriorityWeight: 1}},
	}
	var records []Record
	recorder, err := NewRecorder(balancer.New(config, 1000), 1000, StartInfo{Config: config}, Options{
		SnapshotIntervalMs: 10,
		Sink:               func(batch Batch) { records = append(records, decodeBatch(batch.Data)...) },
	})
	require.NoError(t, err)
	drain := func() (attempts []*balancer.Attempt) {
		for decision, more := recorder.Next(); more; decision, more = recorder.Next() {
			if decision.Kind == balancer.DoAttempt {
				attempts = append(attempts, decision.Attempt)
			}
		}
		return attempts
	}
	backend := &balancer.Backend{ID: 4}
	recorder.EndpointsChanged(1000, []balancer.Endpoint{{Backend: backend, State: balancer.BackendReady, Weight: 1}}, true, false)
	for index, now := range []float64{1010, 1030, 900, 905, 1500} { // back by a step, and on
		recorder.RequestArrived(now, &balancer.Request{ID: 7, Deadline: now + 1000, HasCostHint: true, CostHint: 5})
		for _, attempt := range drain() {
			recorder.AttemptEnded(now+1, attempt, balancer.Outcome(index%2)*balancer.OutcomeConnectionReset, 1, index%2 == 0)
		}
		drain()
	}
	result, err := replayRecords(records)
	require.NoError(t, err)
	assert.Greater(t, result.Decisions, 5)
}

// A request that was taken over from another node comes with its attempts so far, to backends that may not be in
// this node's list. Its replay takes the same decisions, and explain prints the earlier attempt.
func TestReplayOfTakenOverRequest(t *testing.T) {
	class := balancer.Class{
		Idempotency:      balancer.IdempotentWithKey,
		DedupScope:       balancer.DedupByZone,
		DedupWindow:      500,
		LatencyObjective: 1000,
		PriorityWeight:   1,
	}
	config := &balancer.Config{
		Seed:           2,
		Nodes:          1,
		MaxAttempts:    3,
		AllowHedging:   true,
		OverloadWindow: 100,
		Classes:        []balancer.Class{class},
	}
	var records []Record
	recorder, err := NewRecorder(balancer.New(config, 1000), 1000, StartInfo{Config: config}, Options{
		SnapshotIntervalMs: 10,
		Sink:               func(batch Batch) { records = append(records, decodeBatch(batch.Data)...) },
	})
	require.NoError(t, err)
	var attempts []*balancer.Attempt
	drain := func() {
		for decision, more := recorder.Next(); more; decision, more = recorder.Next() {
			if decision.Kind == balancer.DoAttempt {
				attempts = append(attempts, decision.Attempt)
			}
		}
	}
	near, far := &balancer.Backend{ID: 4}, &balancer.Backend{ID: 5}
	endpoints := []balancer.Endpoint{
		{Backend: near, State: balancer.BackendReady, Weight: 1},
		{Backend: far, State: balancer.BackendReady, Weight: 1, Zone: 1},
	}
	recorder.EndpointsChanged(1000, endpoints, true, false)
	drain()
	request := &balancer.Request{ID: 7, Deadline: 3000}
	request.AddEarlierAttempt(&balancer.Backend{ID: 99, Zone: 1}, 900, balancer.OutcomeTimedOut)
	recorder.RequestArrived(1100, request)
	drain()
	require.Len(t, attempts, 1)
	require.Equal(t, far, attempts[0].Backend, "only its zone drops repeats")
	require.Equal(t, 1, attempts[0].Number)
	recorder.AttemptEnded(1150, attempts[0], balancer.OutcomeAnswered, 50, true)
	drain()
	result, err := replayRecords(records)
	require.NoError(t, err)
	require.Positive(t, result.Decisions)
	var explanation bytes.Buffer
	explainer := &Explainer{RequestNumber: 1, Out: &explanation}
	for _, record := range records {
		require.NoError(t, explainer.Feed(record))
	}
	require.Contains(t, explanation.String(),
		"earlier attempt request 1, attempt of another node at 900.000, last known as timed out, to backend 63")
}

// A node that restarts within a capture is another epoch of the same name.
func TestRestartedNodeIsAnotherEpoch(t *testing.T) {
	maxEpochs := 0
	for node := range 3 {
		result, err := replayRecords(captureRecords(t, "nodes", 30, node))
		require.NoError(t, err)
		maxEpochs = max(maxEpochs, result.Epochs)
	}
	assert.GreaterOrEqual(t, maxEpochs, 2)
}

// If a recorded decision is changed in its last bit, or the balancer has another configuration, the replay reports
// the first difference with its batch.
func TestReplayDetectsChangedRecord(t *testing.T) {
	records := captureRecords(t, "hung", 12, 0)
	found := 0
	for index, record := range records {
		if index%97 != 0 || record.Kind != Decided {
			continue
		}
		changed := append([]Record{}, records...)
		changed[index].Value = math.Nextafter(changed[index].Value, 1e9) // the last bit
		_, err := replayRecords(changed)
		var mismatch *MismatchError
		require.ErrorAs(t, err, &mismatch, "record %d of %d: %v", index, len(records), record)
		assert.Equal(t, index+1, mismatch.RecordNumber)
		assert.Contains(t, mismatch.Error(), "captured")
		found++
	}
	assert.Positive(t, found)
	// A balancer with another seed takes other decisions than the captured one.
	replayer := &Replayer{New: func(config *balancer.Config, now float64) balancer.Decider {
		config.Seed ^= 0xff00 // the lowest bits do not reach the random numbers
		return balancer.New(config, now)
	}}
	var err error
	for _, record := range records {
		if err = replayer.Feed(record); err != nil {
			break
		}
	}
	var mismatch *MismatchError
	assert.ErrorAs(t, err, &mismatch)
}

// A balancer that is replaced at every batch by one restored from its snapshot takes the same decisions, in random
// experiments.
func TestReplayRestoredAtEveryBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"hung", "zone-cut", "burst", "cold-rush", "costly", "shrink"}
		experimentConfig, err := experiment.Read("../../experiments/" + rapid.SampledFrom(names).Draw(t, "day") + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		experimentConfig.Seconds = 3
		for index := range experimentConfig.Faults {
			experimentConfig.Faults[index].StartSeconds = rapid.Float64Range(0.1, 1).Draw(t, "at")
			experimentConfig.Faults[index].DurationSeconds = rapid.Float64Range(0.1, 2).Draw(t, "for")
		}
		experimentConfig.Clients.Load = rapid.Float64Range(0.2, 1.2).Draw(t, "load")
		experimentConfig.Backend.CongestionQueue = 3
		replayer := &Replayer{Strict: true}
		var start StartInfo
		wrap := func(node, _ int, decider balancer.Decider, config *balancer.Config, now float64) balancer.Decider {
			if node != 1 {
				return decider
			}
			start = StartInfo{Name: "n1", Config: config}
			recorder, err := NewRecorder(decider, now, start, Options{SnapshotIntervalMs: 500, Sink: func(batch Batch) {
				for _, record := range decodeBatch(batch.Data) {
					if err := replayer.Feed(record); err != nil {
						t.Fatal(err)
					}
					if record.Kind == BatchEnd {
						if err := replayer.RestoreFromOwnState(start); err != nil {
							t.Fatal(err)
						}
					}
				}
			}})
			if err != nil {
				t.Fatal(err)
			}
			return recorder
		}
		_, err = virtual.Run(experimentConfig, rapid.Uint64().Draw(t, "seed"), virtual.Options{Wrap: wrap})
		if err != nil || replayer.Result.Decisions == 0 {
			t.Fatal(err, replayer.Result)
		}
	})
}

// A replay may begin at any snapshot; if old segments were removed, it begins at the first snapshot that is left.
func TestReplayFromEverySnapshot(t *testing.T) {
	records := captureRecords(t, "cold-rush", 20, 0)
	snapshots := 0
	for index, record := range records {
		if record.Kind != Snapshot {
			continue
		}
		replayer := &Replayer{Skip: index, Strict: true}
		for _, fed := range records {
			require.NoError(t, replayer.Feed(fed))
		}
		assert.Equal(t, 1, replayer.Result.Restored)
		snapshots++
	}
	assert.Greater(t, snapshots, 4)
	writer, config := newTestWriter(t, func(config *WriterConfig) { config.MaxTotalMB = 0.15 })
	captureExperiment(t, "hung", 30, 0, Options{SnapshotIntervalMs: 1000, Sink: writer.Put})
	writer.Close()
	remaining, err := readCapture(t, config.Dir)
	require.NoError(t, err)
	result, err := replayRecords(remaining)
	require.NoError(t, err)
	assert.Zero(t, result.Epochs)
	assert.Equal(t, 1, result.Restored)
	assert.Greater(t, result.Decisions, 100)
}

// With a key, request IDs are stored as hashes that depend on the key alone, and the capture can be replayed.
func TestRequestIDsAreHashed(t *testing.T) {
	hashedIDs := func(secret string) (ids []uint64) {
		var records []Record
		captureExperiment(t, "hung", 5, 0, Options{
			SnapshotIntervalMs: 50,
			HashKey:            []byte(secret),
			Sink:               func(batch Batch) { records = append(records, decodeBatch(batch.Data)...) },
		})
		replayer := &Replayer{Strict: true} // request IDs in the snapshots are hashed as well
		for _, record := range records {
			require.NoError(t, replayer.Feed(record))
		}
		for _, record := range records {
			if record.Kind == RequestArrived {
				ids = append(ids, record.ID)
			}
		}
		return ids
	}
	plain, withFirstKey, withSecondKey := hashedIDs(""), hashedIDs("one"), hashedIDs("two")
	assert.Equal(t, withFirstKey, hashedIDs("one"))
	for index := range plain {
		assert.NotEqual(t, plain[index], withFirstKey[index])
		assert.NotEqual(t, withFirstKey[index], withSecondKey[index])
	}
	recorder := &Recorder{options: Options{HashKey: []byte("x")}}
	assert.Zero(t, recorder.hashID(0), "no ID stays no ID")
	assert.NotEqual(t, uint64(5), recorder.hashID(5))
}

// Records are missing. Those after the gap are not verified until the next start.
func TestRecordsAfterGapAreNotVerified(t *testing.T) {
	records := captureRecords(t, "nodes", 30, 0)
	complete, err := replayRecords(records)
	require.NoError(t, err)
	withGap := append(append([]Record{}, records[:100]...), Record{Kind: Gap, Now: records[100].Now, Count: 50})
	withGap = append(withGap, records[150:]...)
	result, err := replayRecords(withGap)
	require.NoError(t, err)
	assert.Equal(t, uint64(50), result.MissingRecords)
	assert.Less(t, result.Decisions, complete.Decisions)
	assert.Equal(t, len(withGap), result.Records)
}

// A cordoned backend, a second process and a new configuration are replayed as they came, also for a request that
// arrived under the earlier configuration.
func TestReplayOfOperatorInputs(t *testing.T) {
	configuration := func(idempotency balancer.Idempotency) *balancer.Config {
		return &balancer.Config{
			Seed:           2,
			Nodes:          1,
			MaxAttempts:    2,
			OverloadWindow: 100,
			Classes:        []balancer.Class{{Idempotency: idempotency, LatencyObjective: 100, PriorityWeight: 1}},
		}
	}
	first, second := configuration(balancer.Idempotent), configuration(balancer.AtMostOnce)
	var records []Record
	recorder, err := NewRecorder(balancer.New(first, 1000), 1000, StartInfo{Config: first}, Options{
		Sink: func(batch Batch) { records = append(records, decodeBatch(batch.Data)...) },
	})
	require.NoError(t, err)
	backends := []*balancer.Backend{{ID: 4}, {ID: 5}, {ID: 6}}
	changeEndpoints := func(now float64, isCordoned bool) {
		for _, backend := range backends {
			recorder.EndpointsChanged(now, []balancer.Endpoint{{
				Backend:  backend,
				State:    balancer.BackendReady,
				Weight:   1,
				Cordoned: isCordoned && backend.ID == 4,
			}}, false, true)
		}
	}
	answers := 0
	requestArrives := func(now float64, config *balancer.Config) {
		recorder.RequestArrived(now, &balancer.Request{Deadline: now + 1000, HasCostHint: true, CostHint: 5, Config: config})
		for decision, more := recorder.Next(); more; decision, more = recorder.Next() {
			switch decision.Kind {
			case balancer.DoAttempt:
				assert.NotEqual(t, uint64(4), decision.Attempt.Backend.ID)
				recorder.AttemptEnded(now+1, decision.Attempt, balancer.OutcomeFailed, 1, false)
			case balancer.DoReject, balancer.DoFail:
				answers++
			}
		}
	}
	changeEndpoints(1000, true)
	requestArrives(1010, first)
	recorder.ProcessesChanged(1020, 2)
	recorder.ConfigChanged(1030, second, []int{0})
	requestArrives(1040, second)
	requestArrives(1050, first)
	requestArrives(1060, nil)
	assert.GreaterOrEqual(t, answers, 2) // others wait for backends that have failed
	result, err := replayRecords(records)
	require.NoError(t, err)
	assert.Greater(t, result.Decisions, 8)
}
