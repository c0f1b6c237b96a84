// Package completion writes scripts that complete a command line in bash, zsh and fish: its commands, flags and the
// values that a flag or an argument can have. A script contains all candidates and does not call the program.
//
// model.go converts kong's model to the data that the scripts need. bash.go, zsh.go and fish.go each write one script
// from it, and share the code in script.go. All three scripts work alike: they parse the words before the cursor to
// find the command, and look up the candidates that can follow it. Hidden commands and flags are not completed. The
// package imports no package of the project and has no state. The test of the script for bash runs the script.
package completion
