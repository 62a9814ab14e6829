package requestlog

// Incarnation identifies one run of a member's process: a restarted process is another incarnation.
//
// From the highest bits to the lowest it consists of the member's index in the fleet; a number of numberBits bits, which is a
// time in ms and increases with each start; and voterIDBits zero bits. A voter ID is an incarnation with a counter in the zero
// bits: an incarnation that drops its replica of a log uses the next voter ID for its next replica.
type Incarnation uint64

const (
	voterIDBits = 12
	numberBits  = 44
)

// NewIncarnation returns the incarnation of a member with the given index and number of the run, in ms.
func NewIncarnation(member int, number uint64) Incarnation {
	const withoutMember = 1<<(numberBits+voterIDBits) - 1
	return Incarnation(uint64(member)<<(numberBits+voterIDBits) | number<<voterIDBits&withoutMember)
}

// Member returns the index of the incarnation's member in the fleet.
func (i Incarnation) Member() int { return int(i >> (numberBits + voterIDBits)) }

func (i Incarnation) number() uint64 {
	const memberBits = 64 - numberBits - voterIDBits
	return uint64(i) << memberBits >> (memberBits + voterIDBits)
}

// firstVoterID returns the voter ID with which the incarnation joins a log for the first time.
func (i Incarnation) firstVoterID() uint64 { return uint64(i) + 1 }

// incarnationOf returns the incarnation that uses a voter ID.
func incarnationOf(voterID uint64) Incarnation { return Incarnation(voterID &^ (1<<voterIDBits - 1)) }
