package electorate

import "github.com/cockroachdb/errors"

// errBehind means that a probed control node does not have all changes that it needs before it can vote. The probe
// is repeated, because the node may receive the changes shortly.
var errBehind = errors.New("it is behind")

// ChangeError means that the electorate was not changed, because the state of the nodes does not allow it or because
// no majority decided in time. Operators see its text, which is the text of the cause.
type ChangeError struct{ Cause error }

func (c *ChangeError) Error() string { return c.Cause.Error() }

// Unwrap returns the cause.
func (c *ChangeError) Unwrap() error { return c.Cause }
