package main

import "github.com/pkg/errors"

// errPlanDoesNotFit ends the program with exitPlanDoesNotFit. The report has said why, so nothing more is printed.
var errPlanDoesNotFit = errors.New("the plan does not fit")

// unusableFileError is the error of a file or schedule that was given and cannot be used. It ends the program with
// exitUnusableFile.
type unusableFileError struct{ error }

func (u unusableFileError) Unwrap() error { return u.error }
