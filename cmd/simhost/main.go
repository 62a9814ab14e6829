// Command simhost runs the decision module on the simulator's wire.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"pearknot/internal/simwire"
)

func main() {
	debug.SetGCPercent(800) // a node has little CPU in each second, and its live heap is small
	if err := simwire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
