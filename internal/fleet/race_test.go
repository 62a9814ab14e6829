//go:build race

package fleet

// slower is what the race detector costs.
const slower = 10
