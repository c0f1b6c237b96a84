package operatorapi

// RejectedError is a call that a control node answered with a status other than 200.
type RejectedError struct {
	Status  int    // of the response
	Message string // message of the node, or the text of the status if the node sent none
}

// Error returns the node's message.
func (re *RejectedError) Error() string { return re.Message }
