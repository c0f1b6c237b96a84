package leaseservice

import (
	"errors"
	"fmt"
)

var (
	// errNoResponse means that a call had no response within its timeout. Its text is meant for an operator's call, but
	// an export to which the lease holder does not respond returns it too.
	errNoResponse = errors.New("no voter that leads has answered: is there a majority?")
	// errStopped means that the service was stopped.
	errStopped = errors.New("the lease service is stopped")
	// errNoLeaseHolder means that this ingress does not know who holds RoleExport.
	errNoLeaseHolder = errors.New("no ingress is known to hold the role that exports usage")
	// errNotLeaseHolder means that an export was sent to an ingress that does not hold RoleExport. Its text is sent to
	// the exporting ingress.
	errNotLeaseHolder = errors.New("it does not hold the export")
	// errBatchTooLarge means that a batch of usage exceeds maxBatchBytes.
	errBatchTooLarge = errors.New("batch too large")
	// errBillingUnreachable means that billing has not answered for unreachableTimeout.
	errBillingUnreachable = errors.New("billing cannot be reached from this ingress")
)

// CallError is the error in the response of the voters' leader to an operator's call.
type CallError struct{ Message string }

func (ce *CallError) Error() string { return ce.Message }

// ExportError is an error in the response of the ingress that holds RoleExport: it did not send a batch to billing.
type ExportError struct {
	LeaseHolder string
	Message     string // error text of the lease holder
}

func (ee *ExportError) Error() string {
	return fmt.Sprintf("%s could not send the batch to billing: %s", ee.LeaseHolder, ee.Message)
}
