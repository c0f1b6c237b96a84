package cli

import (
	"errors"
	"os"
	"strings"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/standalone/hclfile"
)

// exitCode is the exit code for a command's error.
func exitCode(err error) int {
	var place *hclfile.Error
	var file fileError
	var settings *commandline.SettingsError
	if errors.As(err, &place) || errors.As(err, &file) || errors.As(err, &settings) {
		return ExitBadFile
	}
	return ExitFailure
}

// oneLine is the text of an error, or of several that were joined, on one line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// fileError marks an error as one of a file that cannot be used: the program exits with ExitBadFile.
type fileError struct{ error }

func (f fileError) Unwrap() error { return f.error }

// checkExists returns a fileError for a path that names no file.
func checkExists(path string) error {
	if _, err := os.Stat(path); err != nil {
		return fileError{err}
	}
	return nil
}

// Errors of commands. Each is the last line that the program writes.
var (
	// Of commands whose findings are their error.
	errViolated        = errors.New("a rule is broken")
	errExpectation     = errors.New("not all that was expected held")
	errRunNotAsPlanned = errors.New("the run did not show what it should")
	errDiffer          = errors.New("they differ")
	errNoBatchTaken    = errors.New("no batch was taken")

	// Of calls that an ingress rejects, by what its configuration lacks.
	errNoMembership = errors.New("it does not know of other ingresses: its file has no membership in fleet")
	errNotAnnounced = errors.New("its file does not say announce in catalogue: " +
		"revisions hold as its own file has them")
	errNothingShared = errors.New("its file does not say share in membership")
	errLeaseCall     = errors.New("refused: it knows of no voters, no voter that leads answers, " +
		"or what is asked cannot be (its log tells)")
	errVoterArguments = errors.New("add and remove take one name, replace the old one and the new one")
	errNotItsTurn     = errors.New("not now: the whole fleet is not heard, " +
		"or another ingress is starting, drained or leaving")
)
