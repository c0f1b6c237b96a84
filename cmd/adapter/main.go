// Command adapter runs gateways in the simulator. It reads batches of events from standard input and replies with
// batches of actions on standard output. The protocol is implemented by package simprotocol.
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
