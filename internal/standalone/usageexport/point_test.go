package usageexport

// SetTestHook has a function called at the places where a test kills the exporter.
func (e *Exporter) SetTestHook(f func(name string) error) { e.testHook = f }
