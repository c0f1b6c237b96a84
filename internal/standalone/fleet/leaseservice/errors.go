package leaseservice

import (
	"errors"
	"fmt"
)

var (
	// errNoResponse means that a call was not answered in time.
	errNoResponse = errors.New("no voter that leads has answered: is there a majority?")
	// errStopped means that the service was stopped.
	errStopped = errors.New("the lease service is stopped")
	// errNoLeaseHolder means that this ingress does not know who holds RoleExport.
	errNoLeaseHolder = errors.New("nobody is known to hold the export of use")
	// errNotLeaseHolder means that an export was sent to an ingress that does not hold RoleExport.
	errNotLeaseHolder = errors.New("it does not hold the export")
	// errBatchTooLarge means that a batch of usage exceeds maxBatchBytes.
	errBatchTooLarge = errors.New("batch too large")
	// errBillingUnreachable means that billing has not answered for unreachableTimeout.
	errBillingUnreachable = errors.New("billing is not reached from here")
)

// CallError is an error with which the voters' leader answered an operator's call.
type CallError struct{ Message string }

func (ce *CallError) Error() string { return ce.Message }

// ExportError is the failure of an export at the ingress that holds RoleExport.
type ExportError struct {
	LeaseHolder string
	Message     string // of the lease holder
}

func (ee *ExportError) Error() string {
	return fmt.Sprintf("%s, which was to send it, could not: %s", ee.LeaseHolder, ee.Message)
}
