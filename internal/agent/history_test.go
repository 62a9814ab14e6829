package agent

import (
	"errors"
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

// call and answer are one operation of an operator.
type call struct {
	write    bool
	revision uint64 // that a write was made from
	value    string
}

type answer struct {
	taken    bool
	revision uint64
	value    string
}

type register struct {
	revision uint64
	value    string
}

// model is a register with a revision: a write is taken if it was made from the present one.
var model = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(call), output.(answer)
		if !in.write {
			return out.revision == s.revision && out.value == s.value, s
		}
		if !out.taken {
			return in.revision != s.revision, s // told so only where something else came first
		}
		return in.revision == s.revision && out.revision == s.revision+1, register{out.revision, in.value}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Several operators at once, hundreds of interleavings over the real API: there is one order in which all of it makes
// sense.
func TestOperatorsAreLinearizable(t *testing.T) {
	for round := range 25 {
		dir := t.TempDir()
		s, state, _, err := openStore(dir, discard)
		require.NoError(t, err)
		a := &Agent{options: Options{Dir: dir, Socket: dir + "/s", OnPoint: func(string) {}, BusyInterval: time.Hour, IdleInterval: time.Hour}, clock: clock.New(), log: discard,
			mailbox: mailbox.New[func()](), done: make(chan struct{}), changed: make(chan struct{}), nextRound: time.NewTimer(time.Hour), store: s,
			fleet: fleet.New(state, fleet.DefaultTiming())}
		// A stopped fleet: a change over it is over with the next look, so that writes follow each other.
		over := func() {
			for _, name := range a.fleet.Names() {
				a.fleet.Observe(name, fleet.Observation{Phase: fleet.PhaseDown, ObservedAt: a.now()})
			}
			a.fleet.Plan(a.now())
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
			for {
				select {
				case <-a.done:
					return
				case <-a.mailbox.Ready():
					for _, f := range a.mailbox.TakeAll(nil) {
						f()
						over()
					}
				}
			}
		}()
		l, err := controlsocket.Listen(a.options.Socket)
		require.NoError(t, err)
		server := controlsocket.NewServer(a.api())
		go func() { _ = server.Serve(l) }()
		require.NoError(t, makeDirectories(dir))

		var mu sync.Mutex
		var history []porcupine.Operation
		begun := time.Now()
		var wg sync.WaitGroup
		for operator := range 4 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(round), uint64(operator)))
				c := controlsocket.NewClient(a.options.Socket, 10*time.Second)
				seen := uint64(0)
				for k := range 6 {
					in := call{write: rng.IntN(3) > 0, revision: seen, value: fmt.Sprintf("%d-%d", operator, k)}
					at := time.Since(begun)
					var out answer
					if in.write {
						var done Written
						err := c.Call(t.Context(), http.MethodPost, WritePath, Write{Command: "apply", Reason: in.value, Revision: in.revision,
							Instances: []fleet.Instance{{Name: "n", Listen: "127.0.0.1:1", Desired: fleet.Stopped}},
							Configs:   map[string]string{"n": in.value}}, &done)
						var refused *controlsocket.ResponseError
						switch {
						case err == nil:
							out = answer{taken: true, revision: done.Revision}
							seen = done.Revision
						case errors.As(err, &refused) && refused.Status == http.StatusConflict:
						default:
							t.Errorf("write: %v", err)
						}
					} else {
						var v View
						if err := c.Call(t.Context(), http.MethodGet, FleetPath, nil, &v); err != nil {
							t.Errorf("read: %v", err)
							continue
						}
						out = answer{revision: v.Revision}
						if v.Change != nil {
							out.value = v.Change.Reason
						}
						seen = v.Revision
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: operator, Input: in, Call: at.Nanoseconds(), Output: out,
						Return: time.Since(begun).Nanoseconds()})
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		close(a.done)
		<-served
		require.NoError(t, server.Close())
		require.NoError(t, s.close())
		assert.True(t, porcupine.CheckOperations(model, history), "round %d: %v", round, history)
	}
}

// The check itself finds a history that makes no sense: two writes taken from one revision.
func TestModelFindsLostWrites(t *testing.T) {
	assert.False(t, porcupine.CheckOperations(model, []porcupine.Operation{
		{ClientId: 0, Input: call{write: true, value: "a"}, Call: 0, Output: answer{taken: true, revision: 1}, Return: 10},
		{ClientId: 1, Input: call{write: true, value: "b"}, Call: 0, Output: answer{taken: true, revision: 1}, Return: 10},
	}))
}
