package main

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
)

func TestExitCode(t *testing.T) {
	cause := errors.New("cause")
	for _, test := range []struct {
		name string
		err  error
		want int
	}{
		{"success", nil, 0},
		{"failure", cause, exitFailed},
		{"unusable file", unusableFileError{cause}, exitUnusableFile},
		{"wrapped unusable file", fmt.Errorf("read: %w", unusableFileError{cause}), exitUnusableFile},
		{"plan does not fit", errPlanDoesNotFit, exitPlanDoesNotFit},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := exitCode(test.err); got != test.want {
				t.Errorf("exitCode(%v): got %d, want %d", test.err, got, test.want)
			}
		})
	}
}
