package acme

import (
	"math"
	"slices"
	"time"

	"pearknot/internal/certs"
)

// Status holds the state of one certificate as shown to operators.
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

// Status returns the status of all certificates, in order of names.
func (m *Manager) Status() []Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return slices.Clone(m.status)
}

// publishStatus makes the scheduler's state visible to Status.
func (m *Manager) publishStatus() {
	now := m.nowMs()
	var all []Status
	for _, name := range m.names {
		all = append(all, m.statusOf(name, now))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = all
}

func (m *Manager) statusOf(name string, now float64) Status {
	nameState := m.scheduler.Names[name]
	status := Status{
		Name:          name,
		Names:         m.options.Names[name],
		Stage:         m.scheduler.Stage(now, name),
		LastFailure:   nameState.LastFailure,
		LastFailureAt: fromMs(nameState.LastFailureAt),
		RenewAt:       fromMs(m.scheduler.RenewAt(name)),
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

// fromMs converts a time of the scheduler; no time becomes the zero time.
func fromMs(ms float64) time.Time {
	if ms <= 0 || math.IsInf(ms, 0) {
		return time.Time{}
	}
	return time.UnixMilli(int64(ms)).UTC()
}
