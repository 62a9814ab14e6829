package acmestub

import (
	"slices"
	"time"
)

// Fault is a kind of misbehaviour that the authority plays.
type Fault string

// Faults that the authority can play.
const (
	FaultUnreachable       Fault = "unreachable"   // connections break
	FaultSlow              Fault = "slow"          // responses come after Delay
	FaultInternalError     Fault = "5xx"           // every request is answered with status 500
	FaultBadNonce          Fault = "bad-nonce"     // every nonce is refused
	FaultRateLimited       Fault = "rate-limited"  // status 429 with RetryAfter
	FaultRejectedChallenge Fault = "reject"        // challenges fail without a look at their proof
	FaultStuckOrder        Fault = "stuck"         // finalized orders stay in processing
	FaultWrongChain        Fault = "wrong-chain"   // certificates are signed by another root
	FaultExpired           Fault = "expired"       // certificates have expired when they are issued
	FaultNotYetValid       Fault = "not-yet-valid" // certificates are valid from tomorrow on
	FaultOtherName         Fault = "other-name"    // certificates are for a name that was not ordered
	FaultOtherKey          Fault = "other-key"     // certificates are for another key than that of the request
	FaultGarbage           Fault = "garbage"       // responses are no JSON
	FaultEndlessResponse   Fault = "huge"          // responses are far larger than any client accepts
)

var allFaults = []Fault{
	FaultUnreachable,
	FaultSlow,
	FaultInternalError,
	FaultBadNonce,
	FaultRateLimited,
	FaultRejectedChallenge,
	FaultStuckOrder,
	FaultWrongChain,
	FaultExpired,
	FaultNotYetValid,
	FaultOtherName,
	FaultOtherKey,
	FaultGarbage,
	FaultEndlessResponse,
}

// IsKnown tells whether the authority can play this fault.
func (f Fault) IsKnown() bool { return slices.Contains(allFaults, f) }

// FaultNames lists the names of all faults.
func FaultNames() (names []string) {
	for _, fault := range allFaults {
		names = append(names, string(fault))
	}
	return names
}

// ScheduledFault is a fault that is active from Start until before End, by the authority's clock.
type ScheduledFault struct {
	Fault      Fault
	Start, End time.Time
	Name       string        // limits a fault of challenges or certificates to this name; empty is every name
	Delay      time.Duration // of FaultSlow
	RetryAfter time.Duration // of FaultRateLimited
}

// ScheduleFaults replaces the schedule of faults.
func (a *Authority) ScheduleFaults(faults ...ScheduledFault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = faults
}

// activeFault finds an active fault of this kind that applies to name, which is empty where a request concerns none.
func (a *Authority) activeFault(fault Fault, name string) (scheduled ScheduledFault, isActive bool) {
	now := a.options.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.faults {
		if s.Fault == fault && !now.Before(s.Start) && now.Before(s.End) && (s.Name == "" || s.Name == name) {
			return s, true
		}
	}
	return ScheduledFault{}, false
}

// isActive tells whether a fault of this kind applies to name now.
func (a *Authority) isActive(fault Fault, name string) bool {
	_, isActive := a.activeFault(fault, name)
	return isActive
}
