package capacity

import (
	"bytes"
	_ "embed"

	"mulleinrouter/internal/emulator/costmodel"
)

//go:embed slopes.json
var storedRun []byte

// StoredRun returns the run of the cost model that is embedded in the program. It returns an error if that cannot be
// read.
func StoredRun() (*costmodel.Run, error) { return costmodel.Read(bytes.NewReader(storedRun)) }
