package balancer

// Random numbers decide between equal backends, and spread the actions of different nodes in time. All of them come from
// one generator with the seed of the configuration, so that a replay of a capture makes the same decisions. Values that
// must be equal at all nodes without messages are hashed instead.

// multiplyWithCarry is a pseudo-random number generator with a state of two words, which a snapshot can store.
type multiplyWithCarry struct{ x, carry uint64 }

const (
	mwcMultiplier = 4294957665 // gives a period near 2^63 with words of 32 bits
	mwcWarmUp     = 8          // first numbers to discard, since they depend too simply on the seed
)

func newMultiplyWithCarry(seed uint64) multiplyWithCarry {
	m := multiplyWithCarry{x: seed&0xffffffff | 1, carry: seed>>32 | 1}
	for range mwcWarmUp {
		m.nextUnit()
	}
	return m
}

// nextUnit returns the next random number, in [0, 1).
func (m *multiplyWithCarry) nextUnit() float64 {
	product := mwcMultiplier*m.x + m.carry
	m.x = product & 0xffffffff
	m.carry = product >> 32
	return float64(m.x) / (1 << 32)
}

// nextBelow returns the next random integer, in [0, n).
func (m *multiplyWithCarry) nextBelow(n int) int { return int(m.nextUnit() * float64(n)) }

// hashUnit hashes a key together with an ID, such as a backend's, to a number in [0, 1). It is the same at every
// node, so that a key stays with its backend while other backends are added and removed.
func hashUnit(key, id uint64) float64 {
	x := (key ^ id*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>31) * 0x94d049bb133111eb
	return float64((x^x>>29)>>11) / (1 << 53)
}

// slotDraw returns this node's number in [0, 1) for a backend in the present time slot of period ms. It is a hash of the
// node's seed, the backend and the number of the slot, and thus changes with each slot. The slots of different nodes and
// backends begin at different times.
func (lb *Balancer) slotDraw(backend *Backend, period float64) float64 {
	offset := hashUnit(lb.config.Seed, backend.ID)
	slot := uint64(lb.now/period + offset)
	return hashUnit(backend.ID+slot<<48, lb.config.Seed)
}
