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

// writeDecisions appends an instance's pending decisions to the reply, as action records.
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
		h.writeHeader(actionAttempt, i)
		h.appendU64(decision.Request.ID)
		h.reply = binary.BigEndian.AppendUint32(h.reply, uint32(decision.Attempt.Backend.ID>>16))
		h.appendU16(uint16(decision.Attempt.Backend.ID))
		h.appendF64(decision.Wait)
	case balancer.DoReject:
		h.writeHeader(actionReject, i)
		h.appendU64(decision.Request.ID)
		h.appendF64(decision.Wait)
		i.forgetIfDone(decision.Request)
	case balancer.DoFail:
		h.writeHeader(actionFail, i)
		h.appendU64(decision.Request.ID)
		i.forgetIfDone(decision.Request)
	case balancer.DoCancel:
		h.writeHeader(actionCancel, i)
		h.appendU64(decision.Request.ID)
		h.reply = append(h.reply, byte(decision.Attempt.Number))
	case balancer.DoPoll:
		h.writeHeader(actionPoll, i)
		h.reply = append(h.reply, 1)
	case balancer.DoSetTimer:
		h.writeHeader(actionSetTimer, i)
		h.appendF64(decision.Wait)
		h.appendU64(0)
	case balancer.DoLog:
		h.writeText(actionLog, i, decision.Event.String())
	}
}

// writeHeader appends the header of an action record to the reply.
func (h *Host) writeHeader(code byte, i *instance) {
	h.records++
	h.reply = append(h.reply, code)
	h.reply = binary.BigEndian.AppendUint32(h.reply, i.number)
}

func (h *Host) writeText(code byte, i *instance, text string) {
	text = text[:min(len(text), math.MaxUint16)]
	h.writeHeader(code, i)
	h.appendU16(uint16(len(text)))
	h.reply = append(h.reply, text...)
}

func (h *Host) appendU16(x uint16)  { h.reply = binary.BigEndian.AppendUint16(h.reply, x) }
func (h *Host) appendU64(x uint64)  { h.reply = binary.BigEndian.AppendUint64(h.reply, x) }
func (h *Host) appendF64(x float64) { h.appendU64(math.Float64bits(x)) }
