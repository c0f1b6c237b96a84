// Package completion writes scripts that complete a command line in bash, zsh and fish: its commands, flags and the
// values that a flag or an argument can have. A script is complete in itself; it does not call the program.
//
// model.go takes from kong's model what the shells need; bash.go, zsh.go and fish.go each write one script from it,
// with what they share in script.go. All three do the same: they walk the words before the cursor to find the command,
// and look up what can follow it. Hidden commands and flags are not completed. The package imports nothing of the
// project and has no state. Its tests are beside it; that of the script for bash runs it.
package completion
