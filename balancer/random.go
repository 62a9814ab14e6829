package balancer

// Random draws decide between backends that are equal, and spread nodes in time. All of them come from one
// generator seeded by the configuration, so that a captured run can be replayed decision by decision. What must be
// the same at all nodes without a message is not drawn but hashed.

// multiplyWithCarry is a small pseudo-random number generator whose whole state fits into a snapshot.
type multiplyWithCarry struct{ x, carry uint64 }

const (
	mwcMultiplier = 4294957665 // gives a period near 2^63 with words of 32 bits
	mwcWarmUp     = 8          // numbers dropped at first: they follow the seed too closely
)

func newMultiplyWithCarry(seed uint64) multiplyWithCarry {
	m := multiplyWithCarry{x: seed&0xffffffff | 1, carry: seed>>32 | 1}
	for range mwcWarmUp {
		m.nextUnit()
	}
	return m
}

// nextUnit returns the next number, in [0, 1).
func (m *multiplyWithCarry) nextUnit() float64 {
	t := mwcMultiplier*m.x + m.carry
	m.x, m.carry = t&0xffffffff, t>>32
	return float64(m.x) / (1 << 32)
}

// nextBelow returns the next number as an integer in [0, n).
func (m *multiplyWithCarry) nextBelow(n int) int { return int(m.nextUnit() * float64(n)) }

// hashUnit hashes a key with a reference, such as a backend's ID, to [0, 1): the same at every node, so that a key
// keeps its backend while others come and go.
func hashUnit(key, ref uint64) float64 {
	x := (key ^ ref*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return float64((x^x>>29)>>11) / (1 << 53)
}

// slotDraw is this node's own number in [0, 1) for a backend, another one in each period of so many ms. The periods
// of different nodes and backends begin at different times.
func (lb *Balancer) slotDraw(backend *Backend, period float64) float64 {
	return hashUnit(backend.ID+uint64(lb.now/period+hashUnit(lb.config.Seed, backend.ID))<<48, lb.config.Seed)
}
