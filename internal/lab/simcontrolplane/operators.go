package simcontrolplane

import (
	"fmt"
	"slices"
	"strings"

	"pearknot/internal/controlplane"
)

const (
	operators          = 3
	operatorsStopMs    = lengthMs - windDownMs + 2000 // from the start of the schedule
	replyTimeoutMs     = 4000.0                       // for which an operator waits for a voter's answer
	maxProposeAttempts = 6
	anyMemberOneIn     = 5 // reads go to any member once in so many, else to a voter
)

// How long operators take, in ms.
const (
	minFirstEditMs, firstEditSpreadMs = 500.0, 1500.0
	minPauseMs, pauseSpreadMs         = 50.0, 1500.0 // between two changes
	minCallMs, callSpreadMs           = 1.0, 20.0    // from an operator to a member
	minEditMs, editSpreadMs           = 5.0, 100.0
	minRedirectMs, redirectSpreadMs   = 100.0, 200.0 // after the answer of a voter that doesn't lead
	unreachableRetryMs, busyRetryMs   = 100.0, 200.0
)

// operate is an operator's next change: it reads a version from a member, which may be behind, edits the document and proposes that.
func (c *Cluster) operate() {
	if c.elapsed() > operatorsStopMs {
		return
	}
	operateAgain := func() { c.after(c.drawMs(minPauseMs, pauseSpreadMs), c.operate) }
	p := c.processes[c.rng.IntN(c.config.Voters)]
	if c.rng.IntN(anyMemberOneIn) == 0 {
		p = c.processes[c.rng.IntN(c.config.members())]
	}
	incarnation := p.incarnation
	if !p.isUp || p.isFrozen {
		operateAgain()
		return
	}
	c.after(c.drawMs(minCallMs, callSpreadMs), func() {
		c.runIn(p, incarnation, func() {
			version, doc := p.history().Head()
			c.after(c.drawMs(minEditMs, editSpreadMs), func() { c.editAndPropose(version, doc) })
		})
	})
	operateAgain()
}

func (c *Cluster) editAndPropose(base uint64, doc *controlplane.Document) {
	id := c.rng.Uint64() | 1 // an ID is not 0
	edited := c.edit(doc, id)
	x := &proposal{id: id, base: base, digest: edited.Digest()}
	c.auditor.proposed(x)
	call := &proposeCall{cluster: c, proposal: x, document: edited, voter: c.rng.IntN(c.config.Voters)}
	call.start()
}

// edit is a document with one thing changed, as no other edit changes it. An empty one becomes the first document.
func (c *Cluster) edit(doc *controlplane.Document, id uint64) *controlplane.Document {
	value := fmt.Sprintf("%016x%016x%016x", c.rng.Uint64(), id, c.rng.Uint64())
	tenantLine := func() string {
		return fmt.Sprintf(`{"name":"t%d","value":"%s"},`, c.rng.IntN(10*c.config.Tenants), value)
	}
	lines := strings.Split(strings.TrimSuffix(string(doc.Text()), "\n"), "\n")
	if isEmpty := len(lines) < 6; isEmpty {
		lines = c.firstDocument()
	}
	lines[1] = fmt.Sprintf(`"edit":"%x",`, id)
	first, last := 3, len(lines)-3 // of the tenants; the last one has no comma and stays
	at := first + c.rng.IntN(max(last-first, 1))
	switch draw := c.rng.IntN(4); {
	case draw == 0 && last-first > 3:
		lines = slices.Delete(lines, at, at+1)
	case draw == 1 || last <= first:
		lines = slices.Insert(lines, at, tenantLine())
	default:
		lines[at] = tenantLine()
	}
	edited, err := controlplane.Parse([]byte(strings.Join(lines, "")))
	if err != nil {
		panic(err) // the edit above makes valid documents only
	}
	return edited
}

// firstDocument is the lines of the document with which a cluster begins.
func (c *Cluster) firstDocument() []string {
	lines := []string{"{", `"edit":0,`, `"tenants":[`}
	for tenant := range c.config.Tenants {
		lines = append(lines, fmt.Sprintf(`{"name":"t%d","value":"%016x%016x"},`, tenant, c.rng.Uint64(), c.rng.Uint64()))
	}
	return append(lines, `{"name":"last"}`, "]", "}")
}

// proposeCall is one attempt of an operator to have a proposal committed, at one voter.
type proposeCall struct {
	cluster  *Cluster
	proposal *proposal
	document *controlplane.Document
	voter    int
	attempt  int
	isOver   bool // answered, or tried anew
}

// start sends the proposal. After the last attempt the operator gives up: whether it was committed is for the log to tell.
func (call *proposeCall) start() {
	if call.attempt == maxProposeAttempts {
		return
	}
	c := call.cluster
	p := c.processes[call.voter]
	c.after(replyTimeoutMs, func() { call.retry(call.otherVoter(), 0) })
	c.after(c.drawMs(minCallMs, callSpreadMs), func() {
		if !p.isUp {
			call.retry(call.otherVoter(), unreachableRetryMs)
			return
		}
		c.runIn(p, p.incarnation, func() {
			p.replies[call.proposal.id] = func(result controlplane.Result) { call.handleReply(p, result) }
			proposal := controlplane.Proposal{Base: call.proposal.base, Document: call.document, By: "operator", Reason: "trial"}
			p.voter.Propose(c.clock(p), call.proposal.id, proposal)
		})
	})
}

func (call *proposeCall) handleReply(p *process, result controlplane.Result) {
	c, x := call.cluster, call.proposal
	c.trace("%s answers %x from %d: %v %d", p.name, x.id, x.base, result.Code, result.Version)
	c.auditor.answered(x, result)
	if result.Code == controlplane.CodeDone && c.onAcknowledged != nil {
		c.onAcknowledged()
	}
	switch result.Code {
	case controlplane.CodeNotLeader, controlplane.CodeLeadershipLost:
		voter := call.otherVoter()
		if result.Leader > 0 {
			voter = int(result.Leader - 1)
		}
		call.retry(voter, c.drawMs(minRedirectMs, redirectSpreadMs))
	case controlplane.CodeBusy:
		call.retry(call.voter, busyRetryMs)
	default:
		call.isOver = true
	}
}

// retry makes the next attempt, unless this one is over.
func (call *proposeCall) retry(voter int, waitMs float64) {
	if call.isOver {
		return
	}
	call.isOver = true
	next := &proposeCall{cluster: call.cluster, proposal: call.proposal, document: call.document, voter: voter, attempt: call.attempt + 1}
	call.cluster.after(waitMs, next.start)
}

// otherVoter draws a voter other than this attempt's.
func (call *proposeCall) otherVoter() int {
	c := call.cluster
	return (call.voter + 1 + c.rng.IntN(max(c.config.Voters-1, 1))) % c.config.Voters
}
