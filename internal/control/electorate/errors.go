package electorate

import "github.com/cockroachdb/errors"

// errBehind means that a probed control node does not have all changes that it needs before it can vote. The probe
// is repeated, because the node may receive the changes shortly.
var errBehind = errors.New("it is behind")

// ChangeError means that the state of the nodes does not allow a change of the electorate, or that its proposal failed.
// If the cause is proposals.ErrNoMajority, the change may still be chosen later. Operators see its text, which is that
// of the cause.
type ChangeError struct{ Cause error }

func (c *ChangeError) Error() string { return c.Cause.Error() }

// Unwrap returns the cause.
func (c *ChangeError) Unwrap() error { return c.Cause }
