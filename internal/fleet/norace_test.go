//go:build !race

package fleet

// raceFactor is how many times slower code runs under the race detector, which this build does not use.
const raceFactor = 1
