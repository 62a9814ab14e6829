package requestlog

// Picture is a process's part in all logs, for whoever looks.
type StateDigest struct {
	Self        string      `json:"self"`
	Incarnation uint64      `json:"life"`
	Peers       []PeerState `json:"peers"`
	Logs        []LogState  `json:"logs"`
	TookOver    uint64      `json:"took_over"`
}

// PeerState is what is known of a member.
type PeerState struct {
	Name        string  `json:"name"`
	Incarnation uint64  `json:"life"`
	Linked      bool    `json:"linked"`
	Silent      float64 `json:"silent_ms"`
}

// LogState is one log.
type LogState struct {
	Of      string   `json:"of"`
	Holds   bool     `json:"holds"`
	Leader  string   `json:"leader"` // empty is unknown
	Whole   bool     `json:"whole"`  // by its leader's word: as many as are meant to hold it do, and live
	Term    uint64   `json:"term"`
	Voters  []string `json:"voters"`
	Lag     uint64   `json:"lag"` // records not applied here yet
	InHand  int      `json:"in_hand"`
	Records int      `json:"records"`
	Bytes   int      `json:"bytes"`
	Held    int      `json:"held_bytes"` // with the image and the records that are passed on
}

// Picture gives it.
func (h *Member) StateDigest() StateDigest {
	x := StateDigest{Self: h.t.Members[h.t.Self], Incarnation: h.t.Incarnation}
	for m := range h.peers {
		if p := &h.peers[m]; m != h.t.Self {
			x.Peers = append(x.Peers, PeerState{h.t.Members[m], p.pid.life(), p.linked, h.now - p.heard})
		}
	}
	for slot, l := range h.logs {
		s := LogState{Of: h.t.Members[slot]}
		if lead, known := h.leads(slot); known {
			s.Leader = h.t.Members[lead]
			if lead == h.t.Self {
				s.Whole = h.state(slot).Complete
			} else if b := h.peers[lead].beat; b != nil {
				for _, o := range b.Logs {
					s.Whole = s.Whole || o.Log == slot && o.Complete
				}
			}
		}
		if l != nil {
			s.Holds, s.Term = true, l.term()
			for _, v := range l.conf.GetVoters() {
				s.Voters = append(s.Voters, h.t.Members[of(v).Member()])
			}
			if last, err := l.store.LastIndex(); err == nil && last > l.applied {
				s.Lag = last - l.applied
			}
			s.InHand, s.Records, s.Bytes = len(l.ledger.open), len(l.ledger.entries), l.ledger.bytes
			s.Held = s.Bytes + l.weight
			if image, err := l.store.Snapshot(); err == nil {
				s.Held += len(image.GetData())
			}
		}
		x.Logs = append(x.Logs, s)
	}
	return x
}
