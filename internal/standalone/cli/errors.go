package cli

import (
	"errors"
	"os"
	"strings"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/standalone/hclfile"
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var place *hclfile.Error
	var file fileError
	var settings *commandline.SettingsError
	if errors.As(err, &place) || errors.As(err, &file) || errors.As(err, &settings) {
		return ExitBadFile
	}
	return ExitFailure
}

// oneLine returns the text of an error, or of several joined errors, on one line.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// fileError marks an error of a file that is missing or invalid, for which the program exits with ExitBadFile.
type fileError struct{ error }

func (f fileError) Unwrap() error { return f.error }

// checkExists returns a fileError if the path does not exist.
func checkExists(path string) error {
	if _, err := os.Stat(path); err != nil {
		return fileError{err}
	}
	return nil
}

// Errors of commands. Their texts are the last line of the program's output.
var (
	// Errors of commands that completed with a negative result.
	errViolated             = errors.New("a rule is broken")
	errExpectationFailed    = errors.New("not all that was expected held")
	errUnexpectedRunResult  = errors.New("the run did not show what it should")
	errCataloguesDiffer     = errors.New("they differ")
	errBatchNotAcknowledged = errors.New("no batch was taken")

	// Errors of try.
	errServeWithIngress   = errors.New("--serve is for the complete gateway: it does not go with --ingress")
	errTooFewMachines     = errors.New("--core and --edge: at least 1")
	errInvalidTrafficTime = errors.New("--for: not a span such as 18s")
	errInterrupted        = errors.New("interrupted")

	// Errors of calls that an ingress rejected. The ingress does not return a reason, so each text names the usual ones
	// for its call.
	errNoMembership     = errors.New("it does not know of other ingresses: its file has no membership in fleet")
	errAnnounceDisabled = errors.New("its file does not say announce in catalogue: " +
		"revisions hold as its own file has them")
	errSharingDisabled   = errors.New("its file does not say share in membership")
	errLeaseCallRejected = errors.New("refused: it knows of no voters, no voter that leads answers, " +
		"or what is asked cannot be (its log tells)")
	errVoterArguments    = errors.New("add and remove take one name, replace the old one and the new one")
	errRestartNotAllowed = errors.New("not now: the whole fleet is not heard, " +
		"or another ingress is starting, drained or leaving")
)
