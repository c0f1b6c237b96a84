package shards

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// TransferError means that a lease was not transferred. Nothing has changed.
type TransferError struct {
	Shard  uint32
	Reason string
}

func (e *TransferError) Error() string {
	return fmt.Sprintf("shard %d is not handed over: %s", e.Shard, e.Reason)
}

var (
	// ErrNoLeaseholder means that no leaseholder was found in time. The request has not taken effect and will not.
	ErrNoLeaseholder = errors.New("no leaseholder answers for this name")

	// ErrUnknownOutcome means that the request may have taken effect, or may yet.
	ErrUnknownOutcome = errors.New("it is not known whether the call has taken effect")

	// errNotLeaseholder means that this node is not the leaseholder. The request has not taken effect.
	errNotLeaseholder = errors.New("not the leaseholder")
)
