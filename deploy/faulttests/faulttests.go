// Package faulttests holds the timelines that ship, so that the program can play them by name wherever it runs.
package faulttests

import "embed"

// Files are the timelines, by name and ".hcl".
//
//go:embed *.hcl
var Files embed.FS
