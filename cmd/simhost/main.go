// Command simhost runs the decision module on the simulator's wire.
package main

import (
	"fmt"
	"os"

	"pearknot/internal/simwire"
)

func main() {
	if err := simwire.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
