package certs

// Certificate holds the scheduler's record of a certificate that can be served. Times are in Unix ms.
type Certificate struct {
	RenewalID string  `json:"id"` // RFC 9773, 4.1; empty if the certificate has no identifier for renewal information
	Serial    string  `json:"serial"`
	NotBefore float64 `json:"not_before"`
	NotAfter  float64 `json:"not_after"`
	Authority int     `json:"authority"` // index of the authority that issued it

	// The window that the authority suggests for the renewal (RFC 9773, 4.2); empty if there is none.
	WindowStart float64 `json:"window_from,omitempty"`
	WindowEnd   float64 `json:"window_to,omitempty"`

	RenewNow bool `json:"now,omitempty"` // an operator or a revocation requested its renewal at once
}

// Order is an open order at an authority. A name has at most one.
type Order struct {
	Authority int     `json:"authority"`
	URL       string  `json:"url,omitempty"` // empty until the authority has answered
	CreatedAt float64 `json:"at"`
}

// NameState holds the scheduling state of one name.
type NameState struct {
	Certificate   *Certificate `json:"held,omitempty"`
	Order         *Order       `json:"order,omitempty"`
	Failures      int          `json:"failures,omitempty"` // consecutive
	RetryAt       float64      `json:"next_at,omitempty"`  // no order before then
	RenewalInfoAt float64      `json:"info_at,omitempty"`  // no fetch of renewal information before then
	LastFailure   string       `json:"fault,omitempty"`
	LastFailureAt float64      `json:"fault_at,omitempty"`
}

func (n *NameState) hasRenewalInfo() bool {
	return n.Certificate != nil && n.Certificate.RenewalID != ""
}

// AuthorityState holds the scheduling state of one authority.
type AuthorityState struct {
	Failures          int     `json:"failures,omitempty"` // consecutive, of any name, caused by the authority
	RetryAt           float64 `json:"next_at,omitempty"`  // no call before then
	FallbackStartedAt float64 `json:"left_at,omitempty"`  // when orders fell back to another one
}

// State holds what persists across restarts. It is stored as JSON.
type State struct {
	Names       map[string]*NameState `json:"names"`
	Authorities []AuthorityState      `json:"authorities"`
	OrderTimes  []float64             `json:"orders"` // creation times of the orders in the last hour
}
