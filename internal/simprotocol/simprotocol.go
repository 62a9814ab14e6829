// Package simprotocol hosts balancers behind the protocol of the operators' simulator. It converts the simulator's events
// to calls of a balancer, and the balancer's decisions to actions. The protocol's own terms are not used outside this
// package: an instance is a node, an op a request, a try an attempt.
//
// A frame is a batch: each frame of a clock and event records is answered with a frame of action records.
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
)

// headerSize is the length, in bytes, of a frame's header: length, number of records, clock in ms.
const headerSize = 16

// Host runs the balancers of one process, one for each instance that the simulator names.
type Host struct {
	// Wrap, if set, returns the decider to use in place of an instance's balancer.
	Wrap func(instance uint32, decider balancer.Decider, config *balancer.Config, now float64) balancer.Decider

	instances map[uint32]*instance
	touched   []*instance // instances with an event in the current frame, in the order of their first one
	lists     [maxLists][]byte
	now       float64
	reply     []byte // the reply's frame, reused
	records   uint32 // number of records in reply
}

// instance holds one node of the simulation.
type instance struct {
	number       uint32
	decider      balancer.Decider
	requests     map[uint64]*balancer.Request
	backends     map[uint64]*balancer.Backend
	classes      int
	reportFields reportFields
	isTouched    bool
	stopped      bool
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// Serve answers frames until the input ends. An input that ends within a frame is an error.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	var body bytes.Buffer
	for {
		var head [headerSize]byte
		if n, err := io.ReadFull(in, head[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("frame header ends at byte %d of %d: %w", n, headerSize, err)
		}
		size := binary.BigEndian.Uint32(head[:])
		if size < headerSize {
			return fmt.Errorf("frame length %d at byte 0 is shorter than its header", size)
		}
		body.Reset()
		// The buffer grows as data arrives, so a wrong length in the header causes no large allocation.
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

// Batch processes the records of one frame and returns the reply's frame, which is valid until the next call. An error
// contains the number and offset of the record that can't be decoded.
func (h *Host) Batch(now float64, count uint32, body []byte) ([]byte, error) {
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return nil, errors.New("clock at byte 8 of the frame is not finite")
	}
	h.now, h.touched, h.records = now, h.touched[:0], 0
	h.reply = append(h.reply[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	r := &reader{data: body}
	for k := range count {
		r.recordStart = r.offset
		h.readEvent(r)
		if r.err != nil {
			return nil, fmt.Errorf("record %d at byte %d: %w", k, headerSize+r.recordStart, r.err)
		}
	}
	if r.offset != len(body) {
		return nil, fmt.Errorf("frame has trailing data at byte %d after its %d records", headerSize+r.offset, count)
	}
	for _, i := range h.touched {
		i.isTouched = false
		if !i.stopped {
			h.recoverFrom(i, func() { h.writeDecisions(i) })
		}
	}
	binary.BigEndian.PutUint32(h.reply, uint32(len(h.reply)))
	binary.BigEndian.PutUint32(h.reply[4:], h.records)
	return h.reply, nil
}

// recoverFrom runs f and reports a panic in it as the crash of this instance. The others continue.
func (h *Host) recoverFrom(i *instance, f func()) {
	defer func() {
		if p := recover(); p != nil {
			i.stopped = true
			delete(h.instances, i.number)
			h.writeText(actionCrash, i, fmt.Sprint(p))
		}
	}()
	f()
}

// touch marks an instance, so that its decisions are written at the end of the frame.
func (h *Host) touch(i *instance) {
	if !i.isTouched {
		i.isTouched = true
		h.touched = append(h.touched, i)
	}
}
