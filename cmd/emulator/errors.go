package main

import "github.com/pkg/errors"

// errPlanDoesNotFit ends the program with exitPlanDoesNotFit. It is not printed because the report states which limit
// is exceeded.
var errPlanDoesNotFit = errors.New("the plan does not fit")

// unusableFileError wraps the error of a file, a fault schedule or a cost model that cannot be used. It ends the
// program with exitUnusableFile.
type unusableFileError struct{ error }

func (u unusableFileError) Unwrap() error { return u.error }
