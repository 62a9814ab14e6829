// Package config reads what a deployment tells a node at its start, once, for the simulator's host and for the
// one on sockets. Names of the settings end here.
package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"

	"pearknot/balancer"
)

// Deployment is what a host keeps of the settings: the module's part and its own.
type Deployment struct {
	Shape    Shape // of an operator's settings
	Balancer *balancer.Config
	Classes  []string
	Tenants  []string
	Zones    []string
	Kinds    []string
	Report   []string // names of a load report's values, in their order

	MaxDeadline     float64
	ConnectTimeout  float64 // a connection not up after it never comes up
	ConnectionIdle  float64 // a backend closes a connection idle for so long
	MaxOpenRequests int     // ops open at a node

	keys keys // of the settings that it was read from

	sorted sync.Once
	byName []int32 // places of Tenants, in the order of their names
}

// Tenant is a name's place among the tenants, the first one of that name, or -1.
func (d *Deployment) Tenant(name string) int {
	d.sorted.Do(func() {
		d.byName = make([]int32, len(d.Tenants))
		for k := range d.byName {
			d.byName[k] = int32(k)
		}
		slices.SortStableFunc(d.byName, func(a, b int32) int { return strings.Compare(d.Tenants[a], d.Tenants[b]) })
	})
	k, found := slices.BinarySearchFunc(d.byName, name, func(at int32, name string) int { return strings.Compare(d.Tenants[at], name) })
	if !found {
		return -1
	}
	return int(d.byName[k])
}

// Tell puts a load report's value in its place by its name; others say nothing to the module.
func SetReportValue(r *balancer.LoadReport, name string, value float64) {
	switch name {
	case "mean_ms":
		r.ServiceTime = value
	case "concurrent":
		r.InFlight = value
	case "tps":
		r.Throughput = value
	case "depth":
		r.Queued = value
	}
}

// mostNodes is what the wire's numbers of instances can count.
const mostNodes = math.MaxUint32

// leastAskWithin is in ms, a timer's step: the module asks for the list anew after a part of the time, and where that is
// nothing beside its clock it would ask without end before it looked at anything else.
const leastAskWithin = 1

// FromLines reads path=value lines.
func FromLines(data []byte) (*Deployment, error) {
	p := &pairs{values: map[string]string{}}
	for line := range strings.Lines(string(data)) {
		if path, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			p.values[path] = value
		}
	}
	return p.deployment()
}

// pairs are the start-up lines of an instance; the first fault is kept.
type pairs struct {
	values  map[string]string
	tenants []tenant // of nested settings, which may have very many: a line each costs several times as much
	err     error
}

type tenant struct{ name, quota string }

func (p *pairs) tenant(k int) tenant {
	if p.tenants != nil {
		return p.tenants[k]
	}
	at := fmt.Sprintf("tenants.%d.", k)
	return tenant{p.values[at+"name"], p.values[at+"quotaPerS"]}
}

func (p *pairs) text(path string) string {
	v, ok := p.values[path]
	if !ok && p.err == nil {
		p.err = fmt.Errorf("setting %s is missing", path)
	}
	return v
}

func (p *pairs) number(path string) float64 {
	v := p.text(path)
	if p.err != nil {
		return 0
	}
	return p.parse(path, v)
}

func (p *pairs) parse(path, v string) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		p.err = fmt.Errorf("setting %s is no number: %q", path, v)
	}
	return x
}

func (p *pairs) flag(path string) bool {
	v := p.text(path)
	if p.err == nil && v != "true" && v != "false" {
		p.err = fmt.Errorf("setting %s is neither true nor false: %q", path, v)
	}
	return v == "true"
}

// word finds the place of a setting's value among the words allowed.
func (p *pairs) word(path string, words ...string) int {
	v := p.text(path)
	if k := slices.Index(words, v); k >= 0 {
		return k
	}
	if p.err == nil {
		p.err = fmt.Errorf("setting %s has an unknown value: %q", path, v)
	}
	return 0
}

func (p *pairs) list(path string) []string {
	if v := p.values[path]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// count reads how many items a list of objects has; each item needs lines of its own.
func (p *pairs) count(path string) int {
	n := p.number(path + ".count")
	if p.err == nil && (n < 0 || n != math.Trunc(n) || int(n) > len(p.values)+len(p.tenants)) {
		p.err = fmt.Errorf("setting %s.count can't be: %v", path, n)
	}
	if p.err != nil {
		return 0
	}
	return int(n)
}

// within reads a number that has bounds.
func (p *pairs) within(least, most float64) func(path string) float64 {
	return func(path string) float64 { return p.bound(path, p.number(path), least, most) }
}

func (p *pairs) bound(path string, x, least, most float64) float64 {
	if p.err == nil && (x < least || x > most) {
		p.err = fmt.Errorf("setting %s is %v, not from %v to %v", path, x, least, most)
	}
	return x
}

// quota reads a tenant's, which may be absent.
func (p *pairs) quota(k int, v string) float64 {
	if x, err := strconv.ParseFloat(v, 64); v == "" || p.err != nil {
		return 0
	} else if err == nil && x >= 0 && x <= math.MaxFloat64 {
		return x
	}
	path := fmt.Sprintf("tenants.%d.quotaPerS", k)
	return p.bound(path, p.parse(path, v), 0, math.MaxFloat64)
}

// above reads a time, which is more than 0.
func (p *pairs) above(path string) float64 {
	x := p.number(path)
	if p.err == nil && x <= 0 {
		p.err = fmt.Errorf("setting %s is %v, not above 0", path, x)
	}
	return x
}

// optional settings are absent at some sites; unset is what their absence means.
func optional[T any](p *pairs, path string, read func(string) T, unset T) T {
	if v, ok := p.values[path]; ok && v != "" {
		return read(path)
	}
	return unset
}

func (p *pairs) deployment() (*Deployment, error) {
	t := &balancer.Config{
		Zone:             int(p.number("az")),
		Nodes:            int(p.within(1, mostNodes)("balancers")),
		NodeIndex:        int(optional(p, "me", p.within(0, mostNodes), 0)),
		WeightByWork:     p.text("benefitBy") == "work",
		OverQuotaWeight:  optional(p, "excessBenefit", p.within(0, 1), 1),
		CrossZoneCost:    optional(p, "prices.crossZone", p.number, 0),
		MaxAttempts:      int(p.within(1, math.MaxUint16)("bounds.mostPushes")),
		AllowHedging:     p.flag("bounds.secondCopies"),
		CancelAttempts:   p.flag("bounds.cancel"),
		SendRetryAfter:   p.flag("bounds.retryAfter"),
		MaxRetryAfter:    optional(p, "bounds.maxRetryAfter", p.number, 0),
		PollEndpoints:    p.word("registryMode", "automatic", "subscribe") == 1,
		PollInterval:     p.within(leastAskWithin, math.MaxFloat64)("rules.askWithin"),
		SlowStartShare:   p.number("rules.coldFrom"),
		SlowStartWindow:  p.number("rules.warmWithin"),
		OverloadMultiple: p.number("rules.fallMultiple"),
		OverloadWindow:   p.number("rules.overloadFor"),

		UncertainCooldown: optional(p, "rules.settleAfterDoubt", p.within(0, math.MaxFloat64), 0),
		RemovalIsHint:     optional(p, "rules.removalNotBinding", p.flag, false),
		KeyAffinity:       optional(p, "familyInfo.warmKeys", p.flag, false),
		ConnectionCost:    optional(p, "prices.connection", p.within(0, math.MaxFloat64), 0),
	}
	if t.ConnectionCost > 0 {
		p.text("me") // nodes that all took themselves for the first would all connect to the same backends
	}
	d := &Deployment{
		Balancer:        t,
		Zones:           p.list("zones"),
		Kinds:           p.list("kinds"),
		Report:          p.list("loadReport.fields"),
		ConnectTimeout:  optional(p, "bounds.connectTimeout", p.number, 250),
		ConnectionIdle:  optional(p, "bounds.connIdle", p.number, 15e3),
		MaxOpenRequests: int(optional(p, "bounds.mostHeld", p.number, 0)),
	}
	for k := range p.count("categories") {
		at := fmt.Sprintf("categories.%d.", k)
		t.Classes = append(t.Classes, balancer.Class{
			Idempotency:      balancer.Idempotency(p.word(at+"idempotency", "pure", "token", "side_effect")),
			DedupScope:       balancer.DedupScope(optional(p, at+"dedupScope", func(s string) int { return p.word(s, "all", "zone", "cell") }, 0)),
			DedupWindow:      optional(p, at+"keyTtl", p.number, 0),
			LatencyObjective: p.above(at + "targetLatency"),
			PriorityWeight:   p.number(at + "benefit"),
			LateWeight:       optional(p, at+"overdueBenefit", p.within(0, 1), 0),
			Ordered:          optional(p, at+"keepOrder", p.flag, false),
		})
		d.Classes = append(d.Classes, p.values[at+"name"])
		d.MaxDeadline = max(d.MaxDeadline, p.above(at+"ttl"))
	}
	if p.values["tenants"] == "" && p.values["tenants.count"] != "" {
		for k := range p.count("tenants") {
			w := p.tenant(k)
			t.Tenants = append(t.Tenants, balancer.Tenant{Quota: p.quota(k, w.quota)})
			d.Tenants = append(d.Tenants, w.name)
		}
		d.Tenant("") // sorted here, and not on a request's way
	}
	return d, p.err
}
