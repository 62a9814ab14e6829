// Package simprotocol speaks the bench's wire: it hosts the instances of the decision module, turns events into
// their inputs and their decisions into actions. Names of the wire end here.
package simprotocol

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"pearknot/balancer"
	"pearknot/internal/config"
)

// Event codes.
const (
	enlist = iota
	pong
	defineList
	begun
	answer
	view
	noteFrom
	gone
	down
	deadlineHit
	accept
)

// Action codes.
const (
	track         = 1
	respondError  = 2
	record        = 4
	die           = 5
	revoke        = 6
	callOut       = 9
	overloadReply = 10
	setTimer      = 11
)

const (
	headerSize = 16
	lineSize   = 23
	listCount  = 16
)

var endings = map[byte]balancer.Outcome{
	10: balancer.OutcomeAnswered, 20: balancer.OutcomeFailed, 30: balancer.OutcomeRejected, 40: balancer.OutcomeTimedOut,
	50: balancer.OutcomeConnectFailed, 60: balancer.OutcomeConnectionReset, 70: balancer.OutcomeCanceled, 80: balancer.OutcomeNotSent,
}

// Host runs the instances of one process.
type Host struct {
	// Wrap, where given, stands between an instance and its module.
	Wrap func(instance uint32, d balancer.Decider, t *balancer.Config, now float64) balancer.Decider

	instances map[uint32]*instance
	touched   []*instance // in the order of their first event in the batch
	lists     [listCount][]byte
	now       float64
	reply     []byte
	records   uint32
}

type instance struct {
	number     uint32
	node       balancer.Decider
	ops        map[uint64]*balancer.Request
	backends   map[uint64]*balancer.Backend
	categories int
	fields     fields
	inBatch    bool
	stopped    bool
}

// NewHost starts a host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// Serve answers batches until the input ends between two frames.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	var body bytes.Buffer
	for {
		var head [headerSize]byte
		if n, err := io.ReadFull(in, head[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame header ends at byte %d of %d: %w", n, headerSize, err)
		}
		size := binary.BigEndian.Uint32(head[:])
		if size < headerSize {
			return fmt.Errorf("frame length %d at byte 0 is shorter than its header", size)
		}
		body.Reset()
		// Grows with what really comes: a false length allocates nothing.
		if n, err := io.CopyN(&body, in, int64(size)-headerSize); err != nil {
			return fmt.Errorf("frame of %d bytes ends at byte %d: %w", size, headerSize+n, err)
		}
		reply, err := h.Batch(math.Float64frombits(binary.BigEndian.Uint64(head[8:])),
			binary.BigEndian.Uint32(head[4:]), body.Bytes())
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}

// Batch takes the records of one frame and returns the reply's frame, valid until the next call.
func (h *Host) Batch(now float64, count uint32, body []byte) ([]byte, error) {
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return nil, errors.New("clock at byte 8 of the frame is not finite")
	}
	h.now, h.touched, h.records = now, h.touched[:0], 0
	h.reply = append(h.reply[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	r := &reader{data: body}
	for k := range count {
		r.start = r.at
		h.event(r)
		if r.err != nil {
			return nil, fmt.Errorf("record %d at byte %d: %w", k, headerSize+r.start, r.err)
		}
	}
	if r.at != len(body) {
		return nil, fmt.Errorf("frame goes on at byte %d after its %d records", headerSize+r.at, count)
	}
	for _, i := range h.touched {
		i.inBatch = false
		if !i.stopped {
			h.guard(i, func() { h.pull(i) })
		}
	}
	binary.BigEndian.PutUint32(h.reply, uint32(len(h.reply)))
	binary.BigEndian.PutUint32(h.reply[4:], h.records)
	return h.reply, nil
}

// guard reports a panic of the module as that instance's fault.
func (h *Host) guard(i *instance, f func()) {
	defer func() {
		if p := recover(); p != nil {
			i.stopped = true
			delete(h.instances, i.number)
			h.text(die, i, fmt.Sprint(p))
		}
	}()
	f()
}

func (h *Host) touch(i *instance) {
	if !i.inBatch {
		i.inBatch = true
		h.touched = append(h.touched, i)
	}
}

// event decodes one record and hands it on. Everything of a record is read before any input is called.
func (h *Host) event(r *reader) {
	code := r.u8()
	if code == defineList {
		h.define(r)
		return
	}
	if code > accept {
		r.fail("unknown code %d", code)
		return
	}
	number := r.u32()
	i := h.instances[number]
	switch code {
	case enlist:
		seed := r.u64()
		told, err := config.ParseLines(r.take(int(r.u32())))
		if r.err != nil {
			return
		}
		if err != nil {
			r.err = err
			return
		}
		told.Balancer.Seed = seed
		if i != nil {
			i.stopped = true
		}
		i = &instance{number: number, categories: len(told.Classes), fields: told.LoadReportFields, ops: map[uint64]*balancer.Request{}, backends: map[uint64]*balancer.Backend{}}
		h.instances[number] = i
		h.touch(i)
		h.guard(i, func() {
			i.node = balancer.New(told.Balancer, h.now)
			if h.Wrap != nil {
				i.node = h.Wrap(number, i.node, told.Balancer, h.now)
			}
		})
	case down:
		if i != nil {
			i.stopped = true
			delete(h.instances, number)
		}
	case view:
		mode, _, list := r.u8(), r.u32(), r.u16()
		if r.err == nil && mode > 3 {
			r.fail("unknown kind of list %d", mode)
		}
		if r.err == nil && mode != 3 && (list >= listCount || h.lists[list] == nil) {
			r.fail("list %d is not set", list)
		}
		h.input(r, i, func() {
			if mode == 3 {
				i.node.PollFailed(h.now)
			} else {
				i.node.EndpointsChanged(h.now, i.listing(h.lists[list]), mode != 0, mode == 2)
			}
		})
	case accept:
		op := &balancer.Request{ID: r.u64()}
		marks := r.u16()
		op.HasCostHint, op.IsClientRetry = marks&1 != 0, marks&2 != 0
		op.CostHint, op.Deadline = r.f64(), r.time()
		op.Key = r.u64()
		op.Class, op.Tenant = int(r.u8()), int(r.u16())
		if r.err == nil && i != nil && op.Class >= i.categories {
			r.fail("category %d of %d", op.Class, i.categories)
		}
		h.input(r, i, func() {
			i.ops[op.ID] = op
			i.node.RequestArrived(h.now, op)
		})
	case gone:
		id := r.u64()
		h.input(r, i, func() {
			if op := i.ops[id]; op != nil {
				i.node.ClientGone(h.now, op)
				i.forget(op)
			}
		})
	case begun:
		id, _, try := r.u64(), r.time(), r.u8()
		r.take(6)
		h.input(r, i, func() {
			if p := i.push(id, try); p != nil {
				i.node.ResponseStarted(h.now, p)
			}
		})
	case answer:
		id, try := r.u64(), r.u8()
		r.take(6)
		how, elapsed, finished := r.u8(), r.time(), r.u8()
		report := r.take(4 * int(r.u8()))
		ending, known := endings[how]
		if r.err == nil && !known {
			r.fail("unknown ending %d", how)
		}
		h.input(r, i, func() {
			if p := i.push(id, try); p != nil {
				if told := i.fields.read(report); told.HasValues() {
					i.node.LoadReported(h.now, p.Backend, told)
				}
				i.node.AttemptEnded(h.now, p, ending, elapsed, finished != 0)
				i.forget(p.Request)
			}
		})
	case deadlineHit:
		r.u64()
		h.input(r, i, func() { i.node.TimerFired(h.now) })
	case pong: // the module sends no probes
		r.time()
		r.take(7)
		r.take(4 * int(r.u8()))
	case noteFrom: // nodes share nothing
		r.u16()
		r.take(int(r.u16()))
	}
}

func (h *Host) input(r *reader, i *instance, f func()) {
	if r.err == nil && i != nil && !i.stopped {
		h.touch(i)
		h.guard(i, f)
	}
}

func (h *Host) define(r *reader) {
	number := r.u16()
	lines := r.take(int(r.u32()) * lineSize)
	if r.err == nil && number >= listCount {
		r.fail("list number %d is over %d", number, listCount-1)
	}
	for at := 0; r.err == nil && at < len(lines); at += lineSize {
		started := math.Float64frombits(binary.BigEndian.Uint64(lines[at+15:]))
		if state := lines[at+10]; state > 2 {
			r.fail("unknown readiness %d in line %d", state, at/lineSize)
		} else if math.IsNaN(started) || math.IsInf(started, 0) {
			r.fail("start time in line %d is not finite", at/lineSize)
		}
	}
	if r.err == nil {
		h.lists[number] = append([]byte{}, lines...)
	}
}

func (i *instance) listing(lines []byte) []balancer.Endpoint {
	list := make([]balancer.Endpoint, 0, len(lines)/lineSize)
	for ; len(lines) > 0; lines = lines[lineSize:] {
		ref := address(lines)
		b := i.backends[ref]
		if b == nil {
			b = &balancer.Backend{ID: ref}
			i.backends[ref] = b
		}
		list = append(list, balancer.Endpoint{
			Backend: b,
			Zone:    int(lines[6]),
			Kind:    int(lines[7]),
			Cell:    int(binary.BigEndian.Uint16(lines[8:])),
			State:   balancer.BackendState(lines[10]),
			Weight:  float64(math.Float32frombits(binary.BigEndian.Uint32(lines[11:]))),
			Started: math.Float64frombits(binary.BigEndian.Uint64(lines[15:])),
		})
	}
	return list
}

func address(b []byte) uint64 {
	return uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.BigEndian.Uint16(b[4:]))
}

// fields are the names of a load report's values, in their order.
type fields []string

// read takes a report's values; what is missing or can't be is not told.
func (f fields) read(report []byte) balancer.LoadReport {
	r := balancer.EmptyLoadReport()
	for k := 0; k < len(f) && 4*k+4 <= len(report); k++ {
		if x := float64(math.Float32frombits(binary.BigEndian.Uint32(report[4*k:]))); x >= 0 && !math.IsInf(x, 0) {
			config.SetReportValue(&r, f[k], x)
		}
	}
	return r
}

func (i *instance) push(id uint64, try byte) *balancer.Attempt {
	if op := i.ops[id]; op != nil && int(try) < len(op.Attempts) && op.Attempts[try].InFlight() {
		return op.Attempts[try]
	}
	return nil
}

func (i *instance) forget(op *balancer.Request) {
	if op.IsDone() {
		delete(i.ops, op.ID)
	}
}

// pull writes an instance's decisions until it has none left.
func (h *Host) pull(i *instance) {
	for {
		d, more := i.node.Next()
		if !more {
			return
		}
		switch d.Kind {
		case balancer.DoAttempt:
			h.head(callOut, i)
			h.u64(d.Request.ID)
			h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(d.Attempt.Backend.ID>>16))
			h.u16(uint16(d.Attempt.Backend.ID))
			h.f64(d.Wait)
		case balancer.DoReject:
			h.head(overloadReply, i)
			h.u64(d.Request.ID)
			h.f64(d.Wait)
			i.forget(d.Request)
		case balancer.DoFail:
			h.head(respondError, i)
			h.u64(d.Request.ID)
			i.forget(d.Request)
		case balancer.DoCancel:
			h.head(revoke, i)
			h.u64(d.Request.ID)
			h.reply = append(h.reply, byte(d.Attempt.Number))
		case balancer.DoPoll:
			h.head(track, i)
			h.reply = append(h.reply, 1)
		case balancer.DoSetTimer:
			h.head(setTimer, i)
			h.f64(d.Wait)
			h.u64(0)
		case balancer.DoLog:
			h.text(record, i, d.Event.String())
		}
	}
}

func (h *Host) head(code byte, i *instance) {
	h.records++
	h.reply = append(h.reply, code)
	h.reply = binary.BigEndian.AppendUint32(h.reply, i.number)
}

func (h *Host) text(code byte, i *instance, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	h.head(code, i)
	h.u16(uint16(len(s)))
	h.reply = append(h.reply, s...)
}

func (h *Host) u16(x uint16)  { h.reply = binary.BigEndian.AppendUint16(h.reply, x) }
func (h *Host) u64(x uint64)  { h.reply = binary.BigEndian.AppendUint64(h.reply, x) }
func (h *Host) f64(x float64) { h.u64(math.Float64bits(x)) }

// reader walks a frame's records; after the first fault it yields zeros.
type reader struct {
	data  []byte
	at    int
	start int
	err   error
}

func (r *reader) fail(format string, args ...any) { r.err = fmt.Errorf(format, args...) }

func (r *reader) take(n int) []byte {
	if r.err == nil && (n < 0 || n > len(r.data)-r.at) {
		r.fail("%d bytes wanted at byte %d, %d there", n, headerSize+r.at, len(r.data)-r.at)
	}
	if r.err != nil {
		return nil
	}
	r.at += n
	return r.data[r.at-n : r.at]
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) f64() float64 { return math.Float64frombits(r.u64()) }

func (r *reader) time() float64 {
	x := r.f64()
	if r.err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		r.fail("time at byte %d is not finite", headerSize+r.at-8)
	}
	return x
}
