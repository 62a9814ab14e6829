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
type RequestLogging struct {
	Peers      *peers.Peers
	Header     string          // that names an op
	Categories map[string]bool // that are kept; true goes on unprotected where no majority answers
	Most       int             // bytes of an answer that are kept
}

// Keep has ops kept from now on; it is called before Serve.
func (f *Server) LogRequests(k RequestLogging) { f.keep = &k }

// keyed tells whether an op is to be kept, and what it is known by.
func (f *Server) keyed(r *http.Request, op *node.Request, body []byte) (*node.LoggedRequest, *malformed) {
	keys := r.Header.Values(f.keep.Header)
	if len(keys) == 0 {
		return nil, nil
	}
	goOn, kept := f.keep.Categories[f.told.Load().Classes[op.Class]]
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
	return &node.LoggedRequest{Key: string(config.Name(r.Header.Get(tenantHeader))) + "\x00" + key, Fingerprint: print.Sum64(), ProceedWithoutQuorum: goOn, MaxAnswerBytes: f.keep.Most}, nil
}

// serveKept sees an op that others keep through to its one answer: its own, or that of the op that has its key already.
func (f *Server) serveKept(w http.ResponseWriter, r *http.Request, c *client, op *node.Request) {
	f.open.Add(1)
	defer f.open.Add(-1)
	f.latest.Store(time.Now().UnixMilli())
	k := op.Logged
	op.Deadline -= finalTime
	ctx, cancel := context.WithDeadline(r.Context(), f.clock.Time(op.Deadline))
	defer cancel()
	taken, pause := false, lookAgain
	for {
		code, o := f.look(ctx, c.gone, k, min(op.Deadline, f.clock.Now()+lookWithin))
		select {
		case <-c.gone: // before it is taken, or it might be sent on before that is called off
			cancel()
		default:
		}
		switch {
		case ctx.Err() != nil || code == requestlog.NoQuorum && f.clock.Now() >= op.Deadline:
			f.answer(w, c, node.Answer{Status: node.RetryLater, RetryAfter: requestlog.PeerTimeoutMs})
			return
		case code == requestlog.KeyUnused && !taken:
			taken = true
			f.node.Submit(op)
			select {
			case a := <-op.Answer():
				if a.Status == node.KeyTaken {
					continue
				}
				f.answer(w, c, a)
				return
			case <-r.Context().Done():
			case <-c.gone:
			}
			f.node.Cancel(op) // what has begun goes on: whoever comes with its key finds the outcome
			return
		case code == requestlog.KeyUnused: // the op that had the key was nacked
			f.answer(w, c, node.Answer{Status: node.Rejected, RetryAfter: requestlog.PeerTimeoutMs / 4})
			return
		case code == requestlog.KeyAnswered:
			f.answer(w, c, node.AnswerFromLog(o))
			return
		case code == requestlog.KeyMismatch:
			f.write(w, c, http.StatusUnprocessableEntity, []byte("the key of another op\n"))
			return
		case code == requestlog.NoQuorum && k.ProceedWithoutQuorum && !taken:
			op.Logged = nil
			f.serve(w, r, c, op)
			return
		case code == requestlog.NoQuorum && !taken:
			f.answer(w, c, node.Answer{Status: node.Rejected, RetryAfter: 2 * requestlog.PeerTimeoutMs})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, lookLater)
	}
}

func (f *Server) look(ctx context.Context, gone <-chan struct{}, k *node.LoggedRequest, until float64) (requestlog.Result, requestlog.FinalAnswer) {
	told := make(chan requestlog.Reply, 1)
	f.keep.Peers.Lookup(k.Key, k.Fingerprint, until, func(r requestlog.Reply) { told <- r })
	select {
	case r := <-told:
		return r.Result, r.Answer
	case <-ctx.Done():
	case <-gone:
	}
	return requestlog.NoQuorum, requestlog.FinalAnswer{}
}
