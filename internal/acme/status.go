package acme

import (
	"math"
	"slices"
	"time"

	"pearknot/internal/certs"
)

// Status is what operators see of one certificate.
type Status struct {
	Name          string      `json:"name"`
	Names         []string    `json:"names"`
	Stage         certs.Stage `json:"stage"`
	Serial        string      `json:"serial,omitempty"`
	NotAfter      time.Time   `json:"not_after,omitzero"`
	RenewAt       time.Time   `json:"renew_at,omitzero"`
	RetryAt       time.Time   `json:"next_at,omitzero"` // after a failure
	Order         string      `json:"order,omitempty"`  // the open order's URL
	LastFailure   string      `json:"fault,omitempty"`
	LastFailureAt time.Time   `json:"fault_at,omitzero"`
}

// Status is the status of all certificates, by name.
func (k *Keeper) Status() []Status {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.Clone(k.status)
}

// publishStatus makes the scheduler's state visible to Status.
func (k *Keeper) publishStatus() {
	now := k.nowMs()
	var all []Status
	for _, name := range k.names {
		all = append(all, k.statusOf(name, now))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.status = all
}

func (k *Keeper) statusOf(name string, now float64) Status {
	nameState := k.scheduler.Names[name]
	status := Status{
		Name:          name,
		Names:         k.options.Names[name],
		Stage:         k.scheduler.Stage(now, name),
		LastFailure:   nameState.LastFailure,
		LastFailureAt: fromMs(nameState.LastFailureAt),
		RenewAt:       fromMs(k.scheduler.RenewAt(name)),
	}
	if nameState.Certificate != nil {
		status.Serial = nameState.Certificate.Serial
		status.NotAfter = fromMs(nameState.Certificate.NotAfter)
	}
	if nameState.RetryAt > now {
		status.RetryAt = fromMs(nameState.RetryAt)
	}
	if nameState.Order != nil {
		status.Order = nameState.Order.URL
	}
	return status
}

// fromMs is a time of the scheduler's; the zero time where there is none.
func fromMs(ms float64) time.Time {
	if ms <= 0 || math.IsInf(ms, 0) {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms)).UTC()
}
