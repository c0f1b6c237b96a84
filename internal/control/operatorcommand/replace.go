package operatorcommand

import (
	"fmt"
	"io"

	"mulleinrouter/internal/control/operatorapi"
)

// Replace replaces a voter by a learner.
type Replace struct {
	Target `embed:""`
	Out    string `arg:"" help:"Control address of the voter that goes."`
	In     string `arg:"" help:"Control address of the learner that comes."`
}

// Run makes the call, and prints a line once the change is chosen.
func (r *Replace) Run(out io.Writer) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	if err := client.Replace(operatorapi.Replacement{Out: r.Out, In: r.In}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s votes in the place of %s\n", r.In, r.Out)
	return err
}
