package main

import (
	"os"

	"mulleinrouter/internal/standalone/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
