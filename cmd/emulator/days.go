package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"mulleinrouter/internal/emulator/scenario"
)

type daysCommand struct {
	Dir   string  `arg:"" help:"Folder for the files, one a day." type:"existingdir"`
	First uint64  `help:"Seed of the first day." default:"1"`
	Count uint64  `help:"How many days." default:"24"`
	One   float64 `help:"Value less costs that counts as a score of 1." default:"0.925"`
	Zero  float64 `help:"Value less costs that counts as a score of 0." default:"0.575"`
	Any   bool    `help:"Draw from every kind of fault, not those of the control plane alone."`
}

// Run writes a scenario file for each seed and prints the names of the files.
func (d *daysCommand) Run() error {
	draw := scenario.Draw
	if d.Any {
		draw = scenario.DrawAny
	}
	for seed := d.First; seed < d.First+d.Count; seed++ {
		day := draw(seed, d.One, d.Zero)
		name := filepath.Join(d.Dir, day.Name+".toml")
		if err := os.WriteFile(name, []byte(day.String()), 0o644); err != nil {
			return errors.Wrap(err, "write scenario file")
		}
		fmt.Println(name)
	}
	return nil
}
