package usageexport

// HookPoint is exported for the tests of package usageexport_test.
type HookPoint = hookPoint

// HookPoints lists all points at which a test can kill the exporter.
var HookPoints = []HookPoint{
	whileStoringBatch,
	beforeSending,
	afterSending,
	beforeStoringAcknowledgement,
	whileStoringAcknowledgement,
}

// BeforeSending is the point after a batch is stored and before it is sent.
const BeforeSending = beforeSending

// SetTestHook sets a function that is called at each point. Its error makes the exporter fail as if it were killed
// there.
func (e *Exporter) SetTestHook(hook func(p HookPoint) error) { e.testHook = hook }
