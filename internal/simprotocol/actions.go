package simprotocol

import (
	"encoding/binary"
	"math"

	"pearknot/balancer"
)

// Codes of action records.
const (
	actionPoll     = 1 // poll the endpoint list
	actionFail     = 2
	actionLog      = 4
	actionCrash    = 5 // the instance has crashed
	actionCancel   = 6
	actionAttempt  = 9
	actionReject   = 10
	actionSetTimer = 11
)

// writeDecisions writes an instance's decisions until none is left.
func (h *Host) writeDecisions(i *instance) {
	for {
		decision, more := i.decider.Next()
		if !more {
			return
		}
		h.writeDecision(i, decision)
	}
}

func (h *Host) writeDecision(i *instance, decision balancer.Decision) {
	switch decision.Kind {
	case balancer.DoAttempt:
		h.writeHead(actionAttempt, i)
		h.u64(decision.Request.ID)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(decision.Attempt.Backend.ID>>16))
		h.u16(uint16(decision.Attempt.Backend.ID))
		h.f64(decision.Wait)
	case balancer.DoReject:
		h.writeHead(actionReject, i)
		h.u64(decision.Request.ID)
		h.f64(decision.Wait)
		i.forgetIfDone(decision.Request)
	case balancer.DoFail:
		h.writeHead(actionFail, i)
		h.u64(decision.Request.ID)
		i.forgetIfDone(decision.Request)
	case balancer.DoCancel:
		h.writeHead(actionCancel, i)
		h.u64(decision.Request.ID)
		h.reply = append(h.reply, byte(decision.Attempt.Number))
	case balancer.DoPoll:
		h.writeHead(actionPoll, i)
		h.reply = append(h.reply, 1)
	case balancer.DoSetTimer:
		h.writeHead(actionSetTimer, i)
		h.f64(decision.Wait)
		h.u64(0)
	case balancer.DoLog:
		h.writeText(actionLog, i, decision.Event.String())
	}
}

// writeHead begins an action record.
func (h *Host) writeHead(code byte, i *instance) {
	h.records++
	h.reply = append(h.reply, code)
	h.reply = binary.BigEndian.AppendUint32(h.reply, i.number)
}

func (h *Host) writeText(code byte, i *instance, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	h.writeHead(code, i)
	h.u16(uint16(len(text)))
	h.reply = append(h.reply, text...)
}

func (h *Host) u16(x uint16)  { h.reply = binary.BigEndian.AppendUint16(h.reply, x) }
func (h *Host) u64(x uint64)  { h.reply = binary.BigEndian.AppendUint64(h.reply, x) }
func (h *Host) f64(x float64) { h.u64(math.Float64bits(x)) }
