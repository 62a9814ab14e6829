package certs

// Certificate is a certificate that can be served.
type Certificate struct {
	RenewalID string  `json:"id"` // RFC 9773, 4.1; empty where the authority offers no renewal information
	Serial    string  `json:"serial"`
	NotBefore float64 `json:"not_before"`
	NotAfter  float64 `json:"not_after"`
	Authority int     `json:"authority"` // that issued it

	// The window that the authority suggests for the renewal (RFC 9773, 4.2); empty without one.
	WindowStart float64 `json:"window_from,omitempty"`
	WindowEnd   float64 `json:"window_to,omitempty"`

	RenewNow bool `json:"now,omitempty"` // an operator or a revocation wants it renewed at once
}

// Order is an order that is open at an authority. A name has one at most.
type Order struct {
	Authority int     `json:"authority"`
	URL       string  `json:"url,omitempty"` // empty until the authority has answered
	CreatedAt float64 `json:"at"`
}

// NameState is what is known of one name.
type NameState struct {
	Certificate   *Certificate `json:"held,omitempty"`
	Order         *Order       `json:"order,omitempty"`
	Failures      int          `json:"failures,omitempty"` // in a row
	RetryAt       float64      `json:"next_at,omitempty"`  // no order before then
	RenewalInfoAt float64      `json:"info_at,omitempty"`  // no fetch of renewal information before then
	LastFailure   string       `json:"fault,omitempty"`
	LastFailureAt float64      `json:"fault_at,omitempty"`
}

func (n *NameState) hasRenewalInfo() bool {
	return n.Certificate != nil && n.Certificate.RenewalID != ""
}

// AuthorityState is what is known of one authority.
type AuthorityState struct {
	Failures   int     `json:"failures,omitempty"` // in a row, of any name, for which the authority is to blame
	RetryAt    float64 `json:"next_at,omitempty"`  // no call before then
	ReplacedAt float64 `json:"left_at,omitempty"`  // when another one began to stand in for it
}

// State is what outlives a process. Its JSON is stored.
type State struct {
	Names       map[string]*NameState `json:"names"`
	Authorities []AuthorityState      `json:"authorities"`
	OrderTimes  []float64             `json:"orders"` // of the orders within the hour
}
