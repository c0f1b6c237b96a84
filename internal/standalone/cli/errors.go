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

// Errors of commands. The program prints their texts as the last line of its output, except that a line about --help
// follows those of an invalid command line.
var (
	// Errors of commands that completed with a negative result.
	errViolated             = errors.New("a rule is broken")
	errExpectationFailed    = errors.New("not all expectations were met")
	errUnexpectedRunResult  = errors.New("the run did not show the expected result")
	errCataloguesDiffer     = errors.New("the catalogues differ")
	errBatchNotAcknowledged = errors.New("billing did not accept the next batch")

	// Errors of try.
	errServeWithIngress   = errors.New("--serve is for the complete gateway: it does not go with --ingress")
	errTooFewMachines     = errors.New("--core and --edge: at least 1")
	errInvalidTrafficTime = errors.New("--for: not a span such as 18s")
	errInterrupted        = errors.New("interrupted")

	// Errors of the commands of fleet. Except for errVoterArguments, they mean that the ingress rejected a call. The
	// command does not print the ingress's own reason, so each text lists the possible ones.
	errNoMembership     = errors.New("the ingress knows no others: its configuration has no membership block in fleet")
	errAnnounceDisabled = errors.New("the ingress does not use announced revisions: " +
		"its configuration does not set announce in catalogue")
	errSharingDisabled   = errors.New("the ingress shares no state: its configuration does not set share in membership")
	errLeaseCallRejected = errors.New("refused: the ingress has no voters configured, the leading voter " +
		"does not answer, or the request is not possible; see the log of the ingress")
	errVoterArguments    = errors.New("add and remove take one name, replace the old one and the new one")
	errRestartNotAllowed = errors.New("not now: the ingress does not reach the complete fleet, " +
		"or another ingress is starting, drained or leaving")
)
