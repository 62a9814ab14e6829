package balancer

import "math"

// The configuration holds a deployment's settings: the classes of requests and what they allow, the tenants and their
// quotas, and the costs of the environment. Times are in ms. A configuration is given to New and replaced as a whole by
// ConfigChanged; a request keeps the one under which it arrived.
//
// The JSON names are those under which captures store a configuration. They stay as they are, so that older
// captures can still be read.

// Idempotency specifies whether a request of a class may be sent again after an attempt that may have run.
type Idempotency uint8

const (
	// Idempotent requests may be sent again at any time.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests may be sent again within DedupWindow to the backends of the DedupScope.
	IdempotentWithKey
	// AtMostOnce requests must not be sent again once an attempt may have run.
	AtMostOnce
)

// DedupScope is the set of backends that recognize a repeated IdempotentWithKey request and do not run it again.
type DedupScope uint8

const (
	// DedupByAll means that all backends share one record of idempotency keys.
	DedupByAll DedupScope = iota
	// DedupByZone means that the backends of each zone share a record of their own.
	DedupByZone
	// DedupByCell means that the backends of each cell share a record of their own.
	DedupByCell
)

// Class holds the settings of one class of requests.
type Class struct {
	Idempotency      Idempotency `json:"Effect"`
	DedupScope       DedupScope  `json:"Group"`
	DedupWindow      float64     `json:"Remembered"`    // ms for which an idempotency key is recognized, from the first attempt on
	LatencyObjective float64     `json:"TargetLatency"` // ms from arrival within which an answer has its full value
	PriorityWeight   float64     `json:"Benefit"`       // value of an answer in time, in relation to other classes
	LateWeight       float64     `json:"LateBenefit"`   // share of that value, 0 to 1, that an answer has after the objective
	Ordered          bool        `json:"KeepOrder"`     // requests with one key run one at a time, in order of arrival

	meanWork      runningMean // mean work of its requests
	patienceShare float64     // patience as a share of the time left to the latency objective; see setPatience
}

// Tenant is one customer of the service.
type Tenant struct {
	Quota float64 `json:"Quota"` // requests a second over all nodes; 0 means no limit

	rate decayingCounter // the latest requests at this node
}

// Config holds the settings of a deployment for one node.
type Config struct {
	Seed            uint64   `json:"Seed"`
	Zone            int      `json:"Zone"`   // zone of this node
	Nodes           int      `json:"Nodes"`  // number of nodes that share the backends
	NodeIndex       int      `json:"Number"` // index of this node among them, from 0
	Classes         []Class  `json:"Categories"`
	Tenants         []Tenant `json:"Tenants"`
	OverQuotaWeight float64  `json:"ExcessBenefit"` // factor of the priority weight, 0 to 1, for requests over quota
	WeightByWork    bool     `json:"ByWork"`        // a request's value is its priority weight times its work

	CrossZoneCost  float64 `json:"CrossPrice"` // cost of an attempt to another zone, in mean priorities of requests
	MaxAttempts    int     `json:"MaxPushes"`  // most attempts for one request
	AllowHedging   bool    `json:"SecondCopies"`
	CancelAttempts bool    `json:"Cancel"`   // the host can cancel attempts in flight
	SendRetryAfter bool    `json:"ComeBack"` // rejections carry Retry-After
	// MaxRetryAfter is the longest Retry-After, in ms, that a client follows. The balancer never sends a longer one. If it is
	// 0, because the deployment leaves it out, the balancer sets 0, and package server replaces that with a wait of its own:
	// here 0 means neither "no maximum" nor "retry immediately".
	MaxRetryAfter float64 `json:"MaxComeBack"`

	PollEndpoints    bool    `json:"MustAsk"`      // the endpoint list must be polled, since it is not watched
	PollInterval     float64 `json:"AskWithin"`    // ms within which the list must be polled again
	SlowStartShare   float64 `json:"ColdFrom"`     // share of its capacity that a backend has when it starts
	SlowStartWindow  float64 `json:"WarmWithin"`   // ms from its start until a backend has its full capacity
	OverloadMultiple float64 `json:"FallMultiple"` // multiple of its capacity at which a backend that warms up fails
	OverloadWindow   float64 `json:"OverloadFor"`  // ms over which that load is measured

	UncertainCooldown float64 `json:"SettleAfterDoubt"`  // ms of a key's cooldown after an attempt that may still run
	RemovalIsHint     bool    `json:"RemovalNotBinding"` // a backend that is removed without draining may still work
	KeyAffinity       bool    `json:"WarmKeys"`          // a backend that has lately served a key has less work with it
	ConnectionCost    float64 `json:"ConnectionPrice"`   // cost of open connections; above 0, backends accept only few

	tenantRate decayingCounter // the latest requests of all tenants together at this node
	quotaSum   float64         // sum of all quotas, cached by totalQuota
}

// totalQuota returns the sum of all tenants' quotas in requests a second. It is computed once.
func (c *Config) totalQuota() float64 {
	if c.quotaSum == 0 {
		for _, tenant := range c.Tenants {
			c.quotaSum += tenant.Quota
		}
	}
	return c.quotaSum
}

// retentionAfterRemoval returns for how many ms a backend is kept that was removed without draining.
func (c *Config) retentionAfterRemoval() float64 {
	if c.RemovalIsHint {
		return removedRetentionMs
	}
	return 0
}

// ConfigChanged replaces the configuration. For each class of the new one, oldIndexes holds the index of the same class
// in the old one, or -1 if it is new, so that the estimates of the class are kept. Requests keep the configuration under
// which they arrived.
func (lb *Balancer) ConfigChanged(now float64, config *Config, oldIndexes []int) {
	for index, oldIndex := range oldIndexes {
		if oldIndex >= 0 && oldIndex < len(lb.config.Classes) && index < len(config.Classes) {
			config.Classes[index].meanWork = lb.config.Classes[oldIndex].meanWork
		}
	}
	lb.now = now
	lb.config = config
	lb.setPatience()
}

const (
	// minPatienceShare is the patience of a request of the lowest priority, as a share of the time left to its latency
	// objective. It is enough to queue requests during a short burst.
	minPatienceShare = 0.1
	// priorityPatienceShare is added for the class of the highest priority weight, and in proportion for others. Both add up
	// to less than half of the time left, since more would leave too little for the answer itself.
	priorityPatienceShare = 0.35
)

// setPatience sets the patienceShare of each class by its priority weight in relation to the highest one.
//
// A patience is a share of the latency objective. A class of lower priority with a much longer objective could therefore
// wait longer, and hold a place in the queue against classes of higher priority. To prevent that, its share is lowered
// until its patience, in ms, is no longer than any class of equal or higher priority weight would have with that share.
func (lb *Balancer) setPatience() {
	config := lb.config
	maxWeight := 0.0
	for _, class := range config.Classes {
		maxWeight = math.Max(maxWeight, class.PriorityWeight)
	}
	for i := range config.Classes {
		class := &config.Classes[i]
		share := minPatienceShare + priorityPatienceShare*class.PriorityWeight/math.Max(maxWeight, 1e-9)
		class.patienceShare = share
		for _, other := range config.Classes {
			if other.PriorityWeight >= class.PriorityWeight {
				class.patienceShare = math.Min(class.patienceShare, share*other.LatencyObjective/class.LatencyObjective)
			}
		}
	}
}
