//go:build !race

package fleet

const slower = 1
