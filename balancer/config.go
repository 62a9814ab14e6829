package balancer

import "math"

// The configuration is what a deployment tells a node: the classes of requests and what they allow, the
// tenants and their quotas, and what the environment costs. Times are in ms. A configuration is given to New and
// replaced whole by ConfigChanged; a request keeps the one that it arrived under.
//
// The JSON names are those under which captures store a configuration. They stay as they are, so that older
// captures can still be read.

// Idempotency says what a class allows after an attempt that may have run.
type Idempotency uint8

const (
	// Idempotent requests may be sent again at any time.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests may be sent again within DedupWindow to the backends of the DedupScope.
	IdempotentWithKey
	// AtMostOnce requests must not be sent again once an attempt may have run.
	AtMostOnce
)

// DedupScope is the set of backends that recognize a repeated IdempotentWithKey request and drop it.
type DedupScope uint8

const (
	// DedupByAll means that all backends share one record of the keys.
	DedupByAll DedupScope = iota
	// DedupByZone means that the backends of one zone share one.
	DedupByZone
	// DedupByCell means that the backends of one cell share one.
	DedupByCell
)

// Class is one kind of request with what the deployment says of it.
type Class struct {
	Idempotency      Idempotency `json:"Effect"`
	DedupScope       DedupScope  `json:"Group"`
	DedupWindow      float64     `json:"Remembered"`    // ms that an idempotency key is recognized, from the first attempt on
	LatencyObjective float64     `json:"TargetLatency"` // ms within which an answer has its full value
	PriorityWeight   float64     `json:"Benefit"`       // value of an answer in time, against other classes
	LateWeight       float64     `json:"LateBenefit"`   // share of that value left after the latency objective
	Ordered          bool        `json:"KeepOrder"`     // requests with one key run one at a time, in order of arrival

	meanWork      runningMean // of the cost hints
	patienceShare float64     // share of a request's time left that it may wait behind others
}

// Tenant is one customer with its quota of the service, over all nodes.
type Tenant struct {
	Quota float64 `json:"Quota"` // requests a second; 0 means no limit

	rate decayingCounter // requests lately seen by this node
}

// Config is what a deployment tells a node.
type Config struct {
	Seed            uint64   `json:"Seed"`
	Zone            int      `json:"Zone"`   // the node's own
	Nodes           int      `json:"Nodes"`  // how many share the backends
	NodeIndex       int      `json:"Number"` // of this one among them, from 0
	Classes         []Class  `json:"Categories"`
	Tenants         []Tenant `json:"Tenants"`
	OverQuotaWeight float64  `json:"ExcessBenefit"` // share of the priority weight left for requests over quota
	WeightByWork    bool     `json:"ByWork"`        // the priority weight counts for each unit of work

	CrossZoneCost  float64 `json:"CrossPrice"` // of an attempt to another zone, in units of priority weight
	MaxAttempts    int     `json:"MaxPushes"`  // for one request
	AllowHedging   bool    `json:"SecondCopies"`
	CancelAttempts bool    `json:"Cancel"`   // attempts in flight can be canceled
	SendRetryAfter bool    `json:"ComeBack"` // rejections carry Retry-After
	// MaxRetryAfter is the longest Retry-After, in ms, that a client follows. The balancer states no longer one. If it is
	// 0, because the deployment leaves it out, the balancer states 0, and package server puts a wait of its own in place
	// of that: 0 is neither "no maximum" here nor a request to return at once.
	MaxRetryAfter float64 `json:"MaxComeBack"`

	PollEndpoints    bool    `json:"MustAsk"`      // the endpoint list comes only when polled
	PollInterval     float64 `json:"AskWithin"`    // ms
	SlowStartShare   float64 `json:"ColdFrom"`     // of its capacity, that a backend has when it starts
	SlowStartWindow  float64 `json:"WarmWithin"`   // ms from start until a backend has its full capacity
	OverloadMultiple float64 `json:"FallMultiple"` // of its capacity, above which a backend that warms up fails
	OverloadWindow   float64 `json:"OverloadFor"`  // ms over which that is measured

	UncertainCooldown float64 `json:"SettleAfterDoubt"`  // ms that a key waits after an attempt that may still run
	RemovalIsHint     bool    `json:"RemovalNotBinding"` // a backend removed without draining may still serve
	KeyAffinity       bool    `json:"WarmKeys"`          // a backend that met a key lately has less work with it
	ConnectionCost    float64 `json:"ConnectionPrice"`   // of open connections; above 0, backends accept only few

	tenantRate decayingCounter // of all tenants together
	quotaSum   float64         // of all tenants, once added up
}

// totalQuota is the sum of all tenants' quotas, added up when it is first asked for.
func (c *Config) totalQuota() float64 {
	if c.quotaSum == 0 {
		for _, tenant := range c.Tenants {
			c.quotaSum += tenant.Quota
		}
	}
	return c.quotaSum
}

// retentionAfterRemoval is for how many ms a backend is remembered that was removed without draining.
func (c *Config) retentionAfterRemoval() float64 {
	if c.RemovalIsHint {
		return removedRetentionMs
	}
	return 0
}

// ConfigChanged replaces the configuration. For each class of the new one, from gives its index in the old one, or
// -1, so that what was learned of it is kept. Requests keep the configuration that they arrived under.
func (lb *Balancer) ConfigChanged(now float64, config *Config, from []int) {
	for i, k := range from {
		if k >= 0 && k < len(lb.config.Classes) && i < len(config.Classes) {
			config.Classes[i].meanWork = lb.config.Classes[k].meanWork
		}
	}
	lb.now, lb.config = now, config
	lb.setPatience()
}

const (
	// minPatienceShare of its time left is what a request of no priority may wait: a short burst is ridden out.
	minPatienceShare = 0.1
	// priorityPatienceShare is added to it for the class of highest priority weight. More than half of the
	// time left in all would leave too little for the answer itself.
	priorityPatienceShare = 0.35
)

// setPatience sets how long requests of each class may wait, by its priority weight against the others'. Under
// overload the value that a unit of work earns decides who may wait. By a longer latency objective a class of lower
// priority would stay queued in the way of one of higher priority, so that it waits no longer than that one.
func (lb *Balancer) setPatience() {
	config, maxWeight := lb.config, 0.0
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
