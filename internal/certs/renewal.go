package certs

import (
	"fmt"
	"hash/fnv"
	"math"
)

const (
	// renewalShare is the share of a certificate's lifetime after which it is renewed, where the authority suggests no
	// window; renewals are spread over renewalSpread of the lifetime after that.
	renewalShare  = 2.0 / 3
	renewalSpread = 0.1

	// lateShare is the share of its lifetime that a certificate has left when its renewal is late.
	lateShare = 0.1
)

// RenewAt is when a name's certificate is renewed: at a time within the window that its authority suggests (RFC 9773,
// 4.2), or else by its lifetime, spread so that instances don't order at the same time. A name without a certificate is
// due at once.
func (s *Scheduler) RenewAt(name string) float64 {
	certificate := s.Names[name].Certificate
	if certificate == nil || certificate.RenewNow {
		return 0
	}
	spread := s.spread(name, certificate.Serial)
	if window := certificate.WindowEnd - certificate.WindowStart; certificate.WindowEnd > certificate.WindowStart {
		return math.Min(certificate.WindowStart+spread*window, certificate.NotAfter)
	}
	lifetime := certificate.NotAfter - certificate.NotBefore
	return certificate.NotBefore + (renewalShare+renewalSpread*spread)*lifetime
}

// RenewAtOnce has a name's certificate renewed at once.
func (s *Scheduler) RenewAtOnce(name string) {
	if state := s.Names[name]; state.Certificate != nil {
		state.Certificate.RenewNow = true
		state.RetryAt, state.Failures = 0, 0
	}
}

// spread is a number in [0, 1) that is an instance's own for a name and an occasion, and the same after a restart.
func (s *Scheduler) spread(name, occasion string) float64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s\x00%s\x00%s", s.limits.Instance, name, occasion)
	bits := hash.Sum64()
	// FNV's upper bits depend little on the last bytes; murmur3's finalizer mixes them.
	bits = (bits ^ bits>>33) * 0xff51afd7ed558ccd
	bits = (bits ^ bits>>33) * 0xc4ceb9fe1a85ec53
	return float64((bits^bits>>33)>>11) / (1 << 53)
}

// Stage is the state of a name's certificate, as operators see it.
type Stage string

// The stages of a certificate.
const (
	StageFine        Stage = "fine"
	StageRenewalDue  Stage = "renewal due"
	StageLate        Stage = "late"    // less than a tenth of its lifetime is left
	StageExpired     Stage = "expired" // it is served all the same
	StageMissing     Stage = "missing"
	StageNotYetValid Stage = "not yet valid"
)

// Stage is the stage of a name's certificate.
func (s *Scheduler) Stage(now float64, name string) Stage {
	certificate := s.Names[name].Certificate
	switch {
	case certificate == nil:
		return StageMissing
	case now >= certificate.NotAfter:
		return StageExpired
	case now < certificate.NotBefore:
		return StageNotYetValid
	case certificate.NotAfter-now < lateShare*(certificate.NotAfter-certificate.NotBefore):
		return StageLate
	case now >= s.RenewAt(name):
		return StageRenewalDue
	}
	return StageFine
}
