// Package faulttests embeds the fault test scenarios that ship with the program, so that it can run them by name on any
// machine.
package faulttests

import "embed"

// Files contains the scenario files. A file's name is the name of the scenario followed by ".hcl".
//
//go:embed *.hcl
var Files embed.FS
