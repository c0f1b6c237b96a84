// Command standin-3 plays the cases of the third review that can't be put as a day of the bench. It starts the control
// nodes of a small deployment as separate processes on loopback addresses, and calls them as operators and applications
// do. Its exit code is 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitKept      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// errBroken means that a rule was broken.
var errBroken = errors.New("a rule was broken")

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*cluster) error{
		"wiped-during-removal":  wipedDuringRemoval,
		"wiped-while-replacing": wipedWhileReplacing,
		"wiped-after-first-ack": wipedAfterFirstAck,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return exitCannotRun
	}
	c, err := newCluster(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer c.close()
	err = cases[os.Args[1]](c)
	switch {
	case err == nil:
		c.note("result: the rule held")
		return exitKept
	case errors.Is(err, errBroken):
		c.note("result: the rule was broken")
		return exitBroken
	}
	c.note("result: the case couldn't run: %v", err)
	return exitCannotRun
}
