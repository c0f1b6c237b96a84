package electorate

import "github.com/cockroachdb/errors"

// errBehind means that a control node lacks changes that its probe asked for. It may have them a moment later.
var errBehind = errors.New("it is behind")

// ChangeError means that the electorate was not changed: the state of the nodes does not allow it, or no
// majority decided in time. Its text, which operators see, is that of the cause.
type ChangeError struct{ Cause error }

func (c *ChangeError) Error() string { return c.Cause.Error() }

// Unwrap returns the cause.
func (c *ChangeError) Unwrap() error { return c.Cause }
