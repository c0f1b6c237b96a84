package simprotocol

import (
	"fmt"

	"mulleinrouter/internal/decision"
)

// encodeAction returns the message of an action.
func encodeAction(action decision.Action) message {
	switch a := action.(type) {
	case decision.Send:
		return message{"TRANSMIT", a.ID, a.Backend, a.Timeout}
	case decision.Cancel:
		return message{"ABORT_ATTEMPT", a.ID, a.Attempt}
	case decision.Reject:
		return message{"REFUSE", a.ID, a.RetryAfter}
	case decision.Fail:
		return message{"FINISH_ERROR", a.ID}
	case decision.SetTimer:
		return message{"SLEEP", a.At, a.Token}
	case decision.CounterCall:
		return message{"BUMP", a.Name, a.Add, a.Retention}
	default:
		return message{"WRITE_LOG", fmt.Sprintf("no word for %T", action)}
	}
}
