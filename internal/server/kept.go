package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearknot/internal/config"
	"pearknot/internal/node"
	"pearknot/internal/peers"
	"pearknot/internal/requestlog"
)

const (
	longestKey = 255  // bytes
	finalTime  = 40   // ms of an op's time that its outcome has to be written down in
	lookWithin = 1500 // ms for the members to answer, an election long, before the op goes by what its category says of that
	lookAgain  = 25 * time.Millisecond
	lookLater  = 100 * time.Millisecond
)

// Keep says which ops other processes keep.
type Keep struct {
	Peers      *peers.Peers
	Header     string          // that names an op
	Categories map[string]bool // that are kept; true goes on unprotected where no majority answers
	Most       int             // bytes of an answer that are kept
}

// Keep has ops kept from now on; it is called before Serve.
func (f *Front) Keep(k Keep) { f.keep = &k }

// keyed tells whether an op is to be kept, and what it is known by.
func (f *Front) keyed(r *http.Request, op *node.Op, body []byte) (*node.Kept, *malformed) {
	keys := r.Header.Values(f.keep.Header)
	if len(keys) == 0 {
		return nil, nil
	}
	goOn, kept := f.keep.Categories[f.told.Load().Categories[op.Category]]
	if !kept || op.Streamed {
		return nil, nil
	}
	key := strings.TrimSpace(keys[0])
	if len(keys) > 1 || key == "" || len(key) > longestKey {
		return nil, &malformed{http.StatusBadRequest, "odd " + f.keep.Header}
	}
	print := xxhash.New()
	for _, part := range []string{r.Method, "\x00", r.RequestURI, "\x00"} {
		_, _ = print.WriteString(part)
	}
	_, _ = print.Write(body)
	// A key counts for its tenant alone: nobody hears of another's outcome by guessing.
	return &node.Kept{Key: string(config.Name(r.Header.Get(tenantHeader))) + "\x00" + key, Print: print.Sum64(), GoOn: goOn, Most: f.keep.Most}, nil
}

// serveKept sees an op that others keep through to its one answer: its own, or that of the op that has its key already.
func (f *Front) serveKept(w http.ResponseWriter, r *http.Request, c *client, op *node.Op) {
	f.open.Add(1)
	defer f.open.Add(-1)
	f.latest.Store(time.Now().UnixMilli())
	k := op.Kept
	op.GiveUp -= finalTime
	ctx, cancel := context.WithDeadline(r.Context(), f.clock.At(op.GiveUp))
	defer cancel()
	taken, pause := false, lookAgain
	for {
		code, o := f.look(ctx, c.gone, k, min(op.GiveUp, f.clock.Now()+lookWithin))
		select {
		case <-c.gone: // before it is taken, or it might be sent on before that is called off
			cancel()
		default:
		}
		switch {
		case ctx.Err() != nil || code == requestlog.Alone && f.clock.Now() >= op.GiveUp:
			f.answer(w, c, node.Answer{Final: node.AskAgain, ComeBack: requestlog.SilentFor})
			return
		case code == requestlog.Free && !taken:
			taken = true
			f.node.Take(op)
			select {
			case a := <-op.Answer():
				if a.Final == node.Elsewhere {
					continue
				}
				f.answer(w, c, a)
				return
			case <-r.Context().Done():
			case <-c.gone:
			}
			f.node.Leave(op) // what has begun goes on: whoever comes with its key finds the outcome
			return
		case code == requestlog.Free: // the op that had the key was nacked
			f.answer(w, c, node.Answer{Final: node.Nacked, ComeBack: requestlog.SilentFor / 4})
			return
		case code == requestlog.Over:
			f.answer(w, c, node.Recorded(o))
			return
		case code == requestlog.Unlike:
			f.write(w, c, http.StatusUnprocessableEntity, []byte("the key of another op\n"))
			return
		case code == requestlog.Alone && k.GoOn && !taken:
			op.Kept = nil
			f.serve(w, r, c, op)
			return
		case code == requestlog.Alone && !taken:
			f.answer(w, c, node.Answer{Final: node.Nacked, ComeBack: 2 * requestlog.SilentFor})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, lookLater)
	}
}

func (f *Front) look(ctx context.Context, gone <-chan struct{}, k *node.Kept, until float64) (requestlog.Code, requestlog.Outcome) {
	told := make(chan requestlog.Reply, 1)
	f.keep.Peers.Look(k.Key, k.Print, until, func(r requestlog.Reply) { told <- r })
	select {
	case r := <-told:
		return r.Code, r.Outcome
	case <-ctx.Done():
	case <-gone:
	}
	return requestlog.Alone, requestlog.Outcome{}
}
