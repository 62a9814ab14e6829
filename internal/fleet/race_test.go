//go:build race

package fleet

// raceFactor is how many times slower code runs under the race detector.
const raceFactor = 10
