package loopback

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"pearknot/internal/invariants"
	"pearknot/internal/lab/workload"
)

// crowd is all clients: they send when the source says so, whether or not answers come.
type crowd struct {
	hub    *hub
	source *workload.Source
	nodes  [][]*node // by zone
	turn   []int
	http   []*http.Client // devices, each with connections of its own
	secure bool
	wg     sync.WaitGroup
	mu     sync.Mutex // of turn
}

// slackMs is what a node's answer may come late for what sockets and processes take.
const slackMs = 50.0

func newCrowd(h *hub, s *workload.Source, nodes []*node, secure *secure, devices int) *crowd {
	c := &crowd{hub: h, source: s, nodes: make([][]*node, len(h.e.Fleet.Zones)), turn: make([]int, len(h.e.Fleet.Zones))}
	for _, n := range nodes {
		c.nodes[n.zone] = append(c.nodes[n.zone], n)
	}
	for range max(devices, 1) {
		t := &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}
		if secure != nil {
			c.secure, t.TLSClientConfig = true, secure.config
		}
		c.http = append(c.http, &http.Client{Transport: t})
	}
	return c
}

// run sends until the experiment's end, then waits until all have their answers or ctx ends.
func (c *crowd) run(ctx context.Context) {
	defer func() {
		for _, device := range c.http {
			device.CloseIdleConnections()
		}
	}()
	for c.source.NextArrival() < c.hub.e.LengthMs() && ctx.Err() == nil {
		wait(ctx, time.Until(c.hub.time(c.source.NextArrival())))
		if ctx.Err() != nil {
			break
		}
		c.hub.mu.Lock()
		op := c.source.Arrive()
		if op != nil {
			c.hub.rec.RequestArrived(op)
			c.hub.live.Requests++
		}
		c.hub.mu.Unlock()
		if op != nil {
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.see(ctx, op)
			}()
		}
	}
	c.wg.Wait()
}

// see follows one op through its tries.
func (c *crowd) see(ctx context.Context, op *workload.Request) {
	for number := 0; ctx.Err() == nil; number++ {
		how, comeBack, left := c.try(ctx, op, number)
		c.hub.mu.Lock()
		switch how {
		case workload.OutcomeServed:
			now := c.hub.now()
			c.hub.rec.RequestServed(op, now)
			c.hub.live.Served++
			if now-op.ArrivesAt <= c.hub.e.Classes[op.Class].LatencyObjectiveMs {
				c.hub.live.InTime++
			}
		case workload.OutcomeUnreachable:
			c.hub.rec.NodeUnreachable()
		}
		again, wants := 0.0, false
		if how != workload.OutcomeServed && !left {
			again, wants = c.source.Retry(op, number, how, comeBack)
		}
		if how != workload.OutcomeServed && !wants {
			c.hub.rec.RequestEnded(op)
			c.hub.live.Lost++
		}
		c.hub.mu.Unlock()
		if !wants {
			return
		}
		wait(ctx, time.Duration(again*float64(time.Millisecond)))
	}
}

func (c *crowd) front(zone int) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.hub.now()
	for range c.nodes[zone] {
		n := c.nodes[zone][c.turn[zone]%len(c.nodes[zone])]
		c.turn[zone]++
		if n.open(now) {
			return n
		}
	}
	return nil
}

var finals = map[int]invariants.Answer{http.StatusOK: invariants.Served, http.StatusTooManyRequests: invariants.Rejected,
	http.StatusServiceUnavailable: invariants.Rejected}

// try sends once and waits for the answer; left tells that the client went away by itself.
func (c *crowd) try(ctx context.Context, op *workload.Request, number int) (how workload.Outcome, comeBack float64, left bool) {
	h := c.hub
	h.mu.Lock()
	h.rec.RequestSent()
	told := c.source.Behavior(op, number)
	h.mu.Unlock()
	n := c.front(op.Zone)
	if n == nil {
		return workload.OutcomeUnreachable, 0, false
	}
	id := workload.TryID(op.ID, number)
	k := h.e.Classes[op.Class]
	sent := h.now()
	stay := told.Timeout + slackMs
	if told.DisconnectAfter > 0 {
		stay = told.DisconnectAfter
	}
	run := ctx
	ctx, cancel := context.WithDeadline(ctx, h.time(sent+stay))
	defer cancel()
	taken := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(w httptrace.WroteRequestInfo) {
		if w.Err == nil {
			taken = true
			h.taken(id, n.number, op, sent+told.Timeout)
		}
	}})
	method, body := http.MethodGet, []byte(nil)
	if k.Idempotency != "redeliverable" {
		method, body = http.MethodPost, []byte("lab")
	}
	target := "http://" + n.address + "/api"
	if c.secure {
		target = "https://" + n.secure + "/api"
	}
	r, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		panic(err) // plain values
	}
	r.Header.Set("X-Trace-Id", fmt.Sprintf("%016x", id))
	r.Header.Set("X-Qos", k.Name)
	r.Header.Set("X-Expires-In-Ms", strconv.Itoa(int(told.Timeout)))
	if op.HasCostHint {
		r.Header.Set("X-Size-Hint", strconv.FormatFloat(op.CostHint*1e3, 'f', 0, 64))
	}
	if number > 0 {
		r.Header.Set("X-Second-Try", "1")
	}
	answer, err := c.http[op.ID%uint64(len(c.http))].Do(r)
	var data []byte
	if err == nil {
		data, err = drain(answer.Body)
		_ = answer.Body.Close()
	}
	late := h.now() > sent+told.Timeout
	switch {
	case err != nil && run.Err() != nil: // the run was ended: nothing is owed
		h.tell(invariants.Event{Kind: invariants.ClientGone, Request: id})
		return workload.OutcomeLost, 0, true
	case err != nil && told.DisconnectAfter > 0 && errors.Is(err, context.DeadlineExceeded):
		h.tell(invariants.Event{Kind: invariants.ClientGone, Request: id})
		return workload.OutcomeLost, 0, true
	case err != nil && ctx.Err() != nil: // the auditor tells whether an answer was owed
		h.mu.Lock()
		h.rec.ClientTimedOut()
		h.mu.Unlock()
		return workload.OutcomeLost, 0, false
	case err != nil && !taken:
		return workload.OutcomeUnreachable, 0, false
	case err != nil: // ended without an answer: lost, unless its node was killed
		return workload.OutcomeLost, 0, false
	}
	f, known := finals[answer.StatusCode]
	if !known {
		f = invariants.Failed
	}
	e := invariants.Event{Kind: invariants.RequestAnswered, Node: n.number, Request: id, Answer: f, Attempt: invariants.AnyAttempt}
	h.mu.Lock()
	defer h.mu.Unlock()
	if f == invariants.Served && string(data) != answerTo(id) {
		e.Attempt = -2 // nobody's
	}
	h.told(e)
	h.rec.NodeAnswered(h.now(), f)
	switch f {
	case invariants.Rejected:
		h.live.Rejected++
		s, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		return workload.OutcomeRejected, s * 1e3, false
	case invariants.Failed:
		h.live.Failed++
		return workload.OutcomeLost, 0, false
	}
	if late {
		return workload.OutcomeLost, 0, false
	}
	return workload.OutcomeServed, 0, false
}
