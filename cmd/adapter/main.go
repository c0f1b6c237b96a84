// Command adapter runs gateways on the bench's wire: batches on standard input, replies on standard output.
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
