package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/clock"
	"pearknot/internal/controlsocket"
	"pearknot/internal/fleet"
	"pearknot/internal/mailbox"
)

// call is an operator's read or write.
type call struct {
	write    bool
	revision uint64 // that a write is based on
	value    string
}

// answer is the agent's response to a call.
type answer struct {
	accepted bool // a write; a refused one has no other fields
	revision uint64
	value    string
}

// register is the state of the model.
type register struct {
	revision uint64
	value    string
}

// model is a register with a revision: a write is accepted if it was made from the current revision.
var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		current, called, answered := state.(register), input.(call), output.(answer)
		if !called.write {
			return answered.revision == current.revision && answered.value == current.value, current
		}
		if !answered.accepted { // only if another write came first
			return called.revision != current.revision, current
		}
		isNext := called.revision == current.revision && answered.revision == current.revision+1
		return isNext, register{answered.revision, called.value}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Several operators read and write at the same time, in hundreds of interleavings over the real API. Each history is
// linearizable: there is one order of all operations that agrees with every answer.
func TestOperatorsAreLinearizable(t *testing.T) {
	for round := range 25 {
		agent := newServedAgent(t)
		var mu sync.Mutex
		var history []porcupine.Operation
		startedAt := time.Now()
		var operators sync.WaitGroup
		for operator := range 4 {
			operators.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(round), uint64(operator)))
				client := controlsocket.NewClient(agent.options.Socket, 10*time.Second)
				seen := uint64(0)
				for index := range 6 {
					input := call{write: rng.IntN(3) > 0, revision: seen, value: fmt.Sprintf("%d-%d", operator, index)}
					calledAt := time.Since(startedAt)
					output, err := callAgent(t.Context(), client, input)
					if err != nil {
						t.Errorf("%+v: %v", input, err)
						if !input.write { // a read without an answer is no part of the history
							continue
						}
					}
					if output.accepted || !input.write {
						seen = output.revision
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: operator,
						Input:    input,
						Call:     calledAt.Nanoseconds(),
						Output:   output,
						Return:   time.Since(startedAt).Nanoseconds(),
					})
					mu.Unlock()
				}
			})
		}
		operators.Wait()
		agent.shutDown()
		assert.True(t, porcupine.CheckOperations(model, history), "round %d: %v", round, history)
	}
}

// servedAgent is an agent that answers on its socket but takes no steps.
type servedAgent struct {
	*Agent
	shutDown func() // ends the server and closes the store
}

// newServedAgent serves an agent whose instances are all stopped. It observes them after each call, so that a change
// has ended before the next one is proposed.
func newServedAgent(t *testing.T) servedAgent {
	t.Helper()
	dir := t.TempDir()
	stateStore, state, _, err := openStore(dir, discard)
	require.NoError(t, err)
	require.NoError(t, makeDirectories(dir))
	agent := &Agent{
		options: Options{
			Dir:          dir,
			Socket:       dir + "/s",
			OnCrashPoint: func(string) {},
			BusyInterval: time.Hour,
			IdleInterval: time.Hour,
		},
		clock:     clock.New(),
		log:       discard,
		mailbox:   mailbox.New[func()](),
		done:      make(chan struct{}),
		changed:   make(chan struct{}),
		nextRound: time.NewTimer(time.Hour),
		store:     stateStore,
		fleet:     fleet.New(state, fleet.DefaultTiming()),
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			select {
			case <-agent.done:
				return
			case <-agent.mailbox.Ready():
				for _, deliver := range agent.mailbox.TakeAll(nil) {
					deliver()
					endChange(agent)
				}
			}
		}
	}()
	listener, err := controlsocket.Listen(agent.options.Socket)
	require.NoError(t, err)
	server := controlsocket.NewServer(agent.api())
	go func() { _ = server.Serve(listener) }()
	return servedAgent{Agent: agent, shutDown: func() {
		t.Helper()
		close(agent.done)
		<-served
		require.NoError(t, server.Close())
		require.NoError(t, stateStore.close())
	}}
}

// endChange passes observations of stopped instances to the agent's fleet, with which a change to stopped instances
// ends.
func endChange(agent *Agent) {
	for _, name := range agent.fleet.Names() {
		agent.fleet.Observe(name, fleet.Observation{Phase: fleet.PhaseDown, ObservedAt: agent.now()})
	}
	agent.fleet.Plan(agent.now())
}

// callAgent sends an operator's call. A write that is refused for its revision is an answer and no error.
func callAgent(ctx context.Context, client *controlsocket.Client, input call) (answer, error) {
	if !input.write {
		var view View
		if err := client.Call(ctx, http.MethodGet, FleetPath, nil, &view); err != nil {
			return answer{}, err
		}
		output := answer{revision: view.Revision}
		if view.Change != nil {
			output.value = view.Change.Reason
		}
		return output, nil
	}
	write := WriteRequest{
		Command:   "apply",
		Reason:    input.value,
		Revision:  input.revision,
		Instances: []fleet.Instance{{Name: "n", Listen: "127.0.0.1:1", Desired: fleet.Stopped}},
		Configs:   map[string]string{"n": input.value},
	}
	var written WriteResponse
	err := client.Call(ctx, http.MethodPost, WritePath, write, &written)
	if statusOf(err) == http.StatusConflict {
		return answer{}, nil
	}
	if err != nil {
		return answer{}, err
	}
	return answer{accepted: true, revision: written.Revision}, nil
}

// The model itself refuses a history that is not linearizable: two writes accepted from one revision.
func TestModelFindsLostWrites(t *testing.T) {
	assert.False(t, porcupine.CheckOperations(model, []porcupine.Operation{
		{ClientId: 0, Input: call{write: true, value: "a"}, Call: 0, Output: answer{accepted: true, revision: 1}, Return: 10},
		{ClientId: 1, Input: call{write: true, value: "b"}, Call: 0, Output: answer{accepted: true, revision: 1}, Return: 10},
	}))
}
