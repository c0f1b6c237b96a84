// Command standin runs the cases of the review: it starts a small deployment of the project's own programs, stands in
// for its clients, servers and operator, and says whether the rule of the case passed.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	passed = 0
	broken = 1
	failed = 2 // the case could not run
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(root string, r *record, fault bool) (int, error){
		"upload":  uploadCase,
		"tenant":  tenantCase,
		"early":   earlyCase,
		"locks":   locksCase,
		"bigitem": bigItemCase,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := run(os.Args[2], r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}
