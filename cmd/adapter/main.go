// Command adapter runs gateways in the simulator: batches of events on standard input, replies with batches of actions
// on standard output. It only wires package simprotocol.
package main

import (
	"fmt"
	"os"

	"mulleinrouter/internal/standalone/simprotocol"
)

func main() {
	if err := simprotocol.NewHost().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
