package certs

import (
	"fmt"
	"hash/fnv"
	"math"
)

const (
	// renewalFraction is the fraction of a certificate's lifetime after which it is renewed, if the authority suggests no
	// window; renewals are spread over renewalJitter of the lifetime after that.
	renewalFraction = 2.0 / 3
	renewalJitter   = 0.1

	// lateFraction is the fraction of its lifetime that a certificate has left when its renewal is late.
	lateFraction = 0.1
)

// RenewAt returns the time at which a name's certificate is renewed: within the window that its authority suggests (RFC
// 9773, 4.2), or else by its lifetime, with jitter so that instances don't order at the same time. A name without a
// certificate is due at once.
func (s *Scheduler) RenewAt(name string) float64 {
	certificate := s.Names[name].Certificate
	if certificate == nil || certificate.RenewNow {
		return 0
	}
	jitter := s.jitter(name, certificate.Serial)
	if window := certificate.WindowEnd - certificate.WindowStart; certificate.WindowEnd > certificate.WindowStart {
		return math.Min(certificate.WindowStart+jitter*window, certificate.NotAfter)
	}
	lifetime := certificate.NotAfter - certificate.NotBefore
	return certificate.NotBefore + (renewalFraction+renewalJitter*jitter)*lifetime
}

// RenewAtOnce makes the renewal of a name's certificate due at once.
func (s *Scheduler) RenewAtOnce(name string) {
	if state := s.Names[name]; state.Certificate != nil {
		state.Certificate.RenewNow = true
		state.RetryAt, state.Failures = 0, 0
	}
}

// jitter returns a number in [0, 1) that depends on the instance, the name and the occasion, and is the same after a
// restart.
func (s *Scheduler) jitter(name, occasion string) float64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s\x00%s\x00%s", s.limits.Instance, name, occasion)
	bits := hash.Sum64()
	// FNV's upper bits depend little on the last bytes; murmur3's finalizer mixes them.
	bits = (bits ^ bits>>33) * 0xff51afd7ed558ccd
	bits = (bits ^ bits>>33) * 0xc4ceb9fe1a85ec53
	return float64((bits^bits>>33)>>11) / (1 << 53)
}

// Stage is the state of a name's certificate as shown to operators.
type Stage string

// The stages of a certificate.
const (
	StageFine        Stage = "fine"
	StageRenewalDue  Stage = "renewal due"
	StageLate        Stage = "late"    // less than a tenth of its lifetime is left
	StageExpired     Stage = "expired" // still served
	StageMissing     Stage = "missing"
	StageNotYetValid Stage = "not yet valid"
)

// Stage returns the stage of a name's certificate.
func (s *Scheduler) Stage(now float64, name string) Stage {
	certificate := s.Names[name].Certificate
	switch {
	case certificate == nil:
		return StageMissing
	case now >= certificate.NotAfter:
		return StageExpired
	case now < certificate.NotBefore:
		return StageNotYetValid
	case certificate.NotAfter-now < lateFraction*(certificate.NotAfter-certificate.NotBefore):
		return StageLate
	case now >= s.RenewAt(name):
		return StageRenewalDue
	}
	return StageFine
}
