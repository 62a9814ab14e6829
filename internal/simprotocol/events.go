package simprotocol

import (
	"encoding/binary"
	"math"

	"pearknot/balancer"
	"pearknot/internal/config"
)

// Codes of event records.
const (
	eventStart           = iota // an instance starts, with its settings
	eventHealthCheck            // the result of a health check; this host sends none
	eventDefineList             // a numbered endpoint list
	eventResponseStarted        // a backend has started its response
	eventAttemptEnded
	eventEndpoints // an instance is notified of a list, or its poll has failed
	eventGossip    // a message of another instance, ignored: nodes share nothing
	eventClientGone
	eventStop // an instance ends
	eventTimer
	eventRequest
)

// Modes of eventEndpoints.
const (
	endpointsChanges    = 0
	endpointsCached     = 2 // a complete list from before the instance's start
	endpointsPollFailed = 3
)

// Bits of a request's flags.
const (
	requestHasCostHint = 1 << iota
	requestIsClientRetry
)

const (
	maxLists        = 16
	endpointSize    = 23 // of an endpoint in a list, in bytes
	maxBackendState = 2
)

// outcomes maps the protocol's outcome codes to the outcomes of an attempt.
var outcomes = map[byte]balancer.Outcome{
	10: balancer.OutcomeAnswered, 20: balancer.OutcomeFailed, 30: balancer.OutcomeRejected, 40: balancer.OutcomeTimedOut,
	50: balancer.OutcomeConnectFailed, 60: balancer.OutcomeConnectionReset, 70: balancer.OutcomeCanceled, 80: balancer.OutcomeNotSent,
}

// readEvent decodes one record and passes it to its instance. A record is decoded completely before any method of a
// decider is called, so that a malformed one changes nothing.
func (h *Host) readEvent(r *reader) {
	code := r.u8()
	if code == eventDefineList {
		h.readList(r)
		return
	}
	if code > eventRequest {
		r.fail("unknown code %d", code)
		return
	}
	number := r.u32()
	i := h.instances[number]
	switch code {
	case eventStart:
		h.readStart(r, number)
	case eventStop:
		if i != nil {
			i.stopped = true
			delete(h.instances, number)
		}
	case eventEndpoints:
		h.readEndpoints(r, i)
	case eventRequest:
		h.readRequest(r, i)
	case eventClientGone:
		h.readClientGone(r, i)
	case eventResponseStarted:
		h.readResponseStarted(r, i)
	case eventAttemptEnded:
		h.readAttemptEnded(r, i)
	case eventTimer:
		r.u64()
		h.input(r, i, func() { i.decider.TimerFired(h.now) })
	case eventHealthCheck:
		r.time()
		r.take(7)
		r.take(4 * int(r.u8()))
	case eventGossip:
		r.u16()
		r.take(int(r.u16()))
	}
}

// input calls f if the instance is running and the record is well formed.
func (h *Host) input(r *reader, i *instance, f func()) {
	if r.err == nil && i != nil && !i.stopped {
		h.touch(i)
		h.recoverFrom(i, f)
	}
}

// readStart starts an instance, and replaces one with the same number.
func (h *Host) readStart(r *reader, number uint32) {
	seed := r.u64()
	deployment, err := config.ParseLines(r.take(int(r.u32())))
	if r.err != nil {
		return
	}
	if err != nil {
		r.err = err
		return
	}
	deployment.BalancerConfig.Seed = seed
	if former := h.instances[number]; former != nil {
		former.stopped = true
	}
	i := &instance{number: number, classes: len(deployment.Classes), reportFields: deployment.LoadReportFields,
		requests: map[uint64]*balancer.Request{}, backends: map[uint64]*balancer.Backend{}}
	h.instances[number] = i
	h.touch(i)
	h.recoverFrom(i, func() {
		i.decider = balancer.New(deployment.BalancerConfig, h.now)
		if h.Wrap != nil {
			i.decider = h.Wrap(number, i.decider, deployment.BalancerConfig, h.now)
		}
	})
}

func (h *Host) readEndpoints(r *reader, i *instance) {
	mode, _, list := r.u8(), r.u32(), r.u16()
	if r.err == nil && mode > endpointsPollFailed {
		r.fail("unknown endpoint list mode %d", mode)
	}
	if r.err == nil && mode != endpointsPollFailed && (list >= maxLists || h.lists[list] == nil) {
		r.fail("endpoint list %d is not defined", list)
	}
	h.input(r, i, func() {
		if mode == endpointsPollFailed {
			i.decider.PollFailed(h.now)
		} else {
			i.decider.EndpointsChanged(h.now, i.endpoints(h.lists[list]), mode != endpointsChanges, mode == endpointsCached)
		}
	})
}

func (h *Host) readRequest(r *reader, i *instance) {
	request := &balancer.Request{ID: r.u64()}
	flags := r.u16()
	request.HasCostHint, request.IsClientRetry = flags&requestHasCostHint != 0, flags&requestIsClientRetry != 0
	request.CostHint, request.Deadline = r.f64(), r.time()
	request.Key = r.u64()
	request.Class, request.Tenant = int(r.u8()), int(r.u16())
	if r.err == nil && i != nil && request.Class >= i.classes {
		r.fail("class %d is not below the number of classes %d", request.Class, i.classes)
	}
	h.input(r, i, func() {
		i.requests[request.ID] = request
		i.decider.RequestArrived(h.now, request)
	})
}

func (h *Host) readClientGone(r *reader, i *instance) {
	id := r.u64()
	h.input(r, i, func() {
		if request := i.requests[id]; request != nil {
			i.decider.RequestAbandoned(h.now, request)
			i.forgetIfDone(request)
		}
	})
}

func (h *Host) readResponseStarted(r *reader, i *instance) {
	id, _, number := r.u64(), r.time(), r.u8()
	r.take(6)
	h.input(r, i, func() {
		if attempt := i.attemptInFlight(id, number); attempt != nil {
			i.decider.ResponseStarted(h.now, attempt)
		}
	})
}

func (h *Host) readAttemptEnded(r *reader, i *instance) {
	id, number := r.u64(), r.u8()
	r.take(6)
	code, elapsed, finished := r.u8(), r.time(), r.u8()
	values := r.take(4 * int(r.u8()))
	outcome, known := outcomes[code]
	if r.err == nil && !known {
		r.fail("unknown outcome %d", code)
	}
	h.input(r, i, func() {
		attempt := i.attemptInFlight(id, number)
		if attempt == nil {
			return
		}
		if report := i.reportFields.decode(values); report.HasValues() {
			i.decider.LoadReported(h.now, attempt.Backend, report)
		}
		i.decider.AttemptEnded(h.now, attempt, outcome, elapsed, finished != 0)
		i.forgetIfDone(attempt.Request)
	})
}

// readList stores a numbered endpoint list. Later events refer to it by its number.
func (h *Host) readList(r *reader) {
	number := r.u16()
	endpoints := r.take(int(r.u32()) * endpointSize)
	if r.err == nil && number >= maxLists {
		r.fail("endpoint list number %d exceeds %d", number, maxLists-1)
	}
	for at := 0; r.err == nil && at < len(endpoints); at += endpointSize {
		started := math.Float64frombits(binary.BigEndian.Uint64(endpoints[at+15:]))
		if state := endpoints[at+10]; state > maxBackendState {
			r.fail("unknown backend state %d in endpoint %d", state, at/endpointSize)
		} else if math.IsNaN(started) || math.IsInf(started, 0) {
			r.fail("start time in endpoint %d is not finite", at/endpointSize)
		}
	}
	if r.err == nil {
		h.lists[number] = append([]byte{}, endpoints...)
	}
}

// endpoints decodes a list for an instance. Each instance has its own backend objects.
func (i *instance) endpoints(data []byte) []balancer.Endpoint {
	list := make([]balancer.Endpoint, 0, len(data)/endpointSize)
	for ; len(data) > 0; data = data[endpointSize:] {
		id := backendID(data)
		backend := i.backends[id]
		if backend == nil {
			backend = &balancer.Backend{ID: id}
			i.backends[id] = backend
		}
		list = append(list, balancer.Endpoint{
			Backend: backend,
			Zone:    int(data[6]),
			Kind:    int(data[7]),
			Cell:    int(binary.BigEndian.Uint16(data[8:])),
			State:   balancer.BackendState(data[10]),
			Weight:  float64(math.Float32frombits(binary.BigEndian.Uint32(data[11:]))),
			Started: math.Float64frombits(binary.BigEndian.Uint64(data[15:])),
		})
	}
	return list
}

// backendID returns a backend's address and port as one number.
func backendID(b []byte) uint64 {
	return uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.BigEndian.Uint16(b[4:]))
}

// reportFields lists the names of a load report's values, in the order of the values in a record.
type reportFields []string

// decode decodes a report's values. A value that is missing, negative, infinite or NaN counts as not reported.
func (f reportFields) decode(values []byte) balancer.LoadReport {
	report := balancer.EmptyLoadReport()
	for k := 0; k < len(f) && 4*k+4 <= len(values); k++ {
		if value := float64(math.Float32frombits(binary.BigEndian.Uint32(values[4*k:]))); value >= 0 && !math.IsInf(value, 0) {
			config.SetReportValue(&report, f[k], value)
		}
	}
	return report
}

// attemptInFlight returns a request's attempt by its number, or nil if it has ended.
func (i *instance) attemptInFlight(id uint64, number byte) *balancer.Attempt {
	request := i.requests[id]
	if request == nil || int(number) >= len(request.Attempts) || !request.Attempts[number].InFlight() {
		return nil
	}
	return request.Attempts[number]
}

func (i *instance) forgetIfDone(request *balancer.Request) {
	if request.IsDone() {
		delete(i.requests, request.ID)
	}
}
