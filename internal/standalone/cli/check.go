package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/cluster/settings"
	"mulleinrouter/internal/standalone/config"
	"mulleinrouter/internal/standalone/plans"
)

// CheckCommand checks a configuration, a catalogue, or a settings file of the system's programs.
type CheckCommand struct {
	File    string `arg:"" name:"file" type:"path" help:"${checkFile}"`
	Program string `name:"program" enum:"proxy,agent,control," default:"" placeholder:"NAME" help:"${checkProgram}"`
	commandline.OutputFlag
}

// fileKind is the kind of a file, which is recognized by its content.
type fileKind string

const (
	kindPlatform  fileKind = "platform"  // JSON configuration of the standalone ingress, in the platform's format
	kindHCL       fileKind = "hcl"       // HCL configuration of the standalone ingress
	kindCatalogue fileKind = "catalogue" // catalogue of plans
	kindSettings  fileKind = "settings"  // settings file of the system's programs
)

var (
	revisionBlock = regexp.MustCompile(`(?m)^\s*revision\s+"`)
	// settingLine matches a line a.b=value. It does not match HCL, where the name of an attribute has no dot.
	settingLine = regexp.MustCompile(`(?m)^\s*[\w-]+(\.[\w-]+)+\s*=`)
)

// kind recognizes the kind of the file by its content.
func (c *CheckCommand) kind() (fileKind, error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return "", err
	}
	switch {
	case strings.HasPrefix(strings.TrimSpace(string(text)), "{"):
		return kindPlatform, nil
	case revisionBlock.Match(text):
		return kindCatalogue, nil
	case settingLine.Match(text):
		return kindSettings, nil
	}
	return kindHCL, nil
}

// checkReport is the result of check, as JSON.
type checkReport struct {
	File     string    `json:"file"`
	Kind     fileKind  `json:"kind,omitempty"` // empty: the file cannot be read
	Valid    bool      `json:"valid"`
	Problems []problem `json:"problems,omitempty"` // empty: none

	Ingress   *ingressSummary       `json:"ingress,omitempty"`   // summary of a configuration
	Revisions []plans.Revision      `json:"revisions,omitempty"` // of a catalogue, or of the one a configuration names
	Programs  []commandline.Summary `json:"programs,omitempty"`  // summaries of the programs of a settings file
}

// Run prints a summary of the file, or its errors.
func (c *CheckCommand) Run(p *Program) error {
	report, err := c.check()
	if err != nil {
		report.Problems = newProblems(c.File, err)
	}
	report.Valid = err == nil
	if c.JSON() {
		if encodeErr := writeJSON(p.out, report); encodeErr != nil {
			return encodeErr
		}
	} else if printErr := c.print(p.out, report); printErr != nil {
		return printErr
	}
	if err != nil {
		return fileError{err}
	}
	return nil
}

// check reads the file. If it returns an error, the report contains what was read before the error.
func (c *CheckCommand) check() (report checkReport, err error) {
	report.File = c.File
	if report.Kind, err = c.kind(); err != nil {
		return report, err
	}
	switch report.Kind {
	case kindSettings:
		report.Programs, err = c.readSettings()
	case kindCatalogue:
		report.Revisions, err = loadCatalogue(c.File)
	default:
		var checked *config.Config
		if checked, err = c.load(report.Kind); err != nil {
			return report, err
		}
		report.Ingress = newIngressSummary(checked)
		if checked.Catalogue != "" {
			report.Revisions, err = loadCatalogue(checked.Catalogue)
		}
	}
	return report, err
}

// readSettings reads a settings file and checks it for the program that the command line names, or else for all
// programs that it is meant for. It returns settings.SettingErrors with the errors of all these programs, or the error
// of reading the file.
func (c *CheckCommand) readSettings() (summaries []commandline.Summary, err error) {
	s, err := settings.Load(c.File)
	if err != nil {
		return nil, err
	}
	programs := commandline.Programs(s)
	if c.Program != "" {
		programs = []string{c.Program}
	}
	var lacking settings.SettingErrors
	for _, program := range programs {
		var errs settings.SettingErrors
		if err := s.Require(program); errors.As(err, &errs) {
			lacking = append(lacking, errs...)
		}
		summaries = append(summaries, commandline.Summarize(s, program))
	}
	for n := range lacking {
		lacking[n].File = filepath.Base(c.File) // as in the errors of settings.Load
	}
	if len(lacking) > 0 {
		return nil, lacking
	}
	return summaries, nil
}

func (c *CheckCommand) load(kind fileKind) (*config.Config, error) {
	if kind == kindHCL {
		return config.LoadFile(c.File)
	}
	return config.Load(func(name string) string {
		if name == "NODE_CONFIG" {
			return c.File
		}
		return ""
	})
}

// print prints a report for operators. A single problem is not listed, because the command returns it as its error.
func (c *CheckCommand) print(out io.Writer, report checkReport) error {
	if report.Ingress != nil {
		fmt.Fprintf(out, "%s: a configuration in order\n", c.File)
		if err := report.Ingress.writeTable(out); err != nil {
			return err
		}
	}
	if len(report.Problems) > 1 {
		for _, problem := range report.Problems {
			fmt.Fprintln(out, problem)
		}
	}
	switch {
	case len(report.Problems) > 0:
		return nil
	case report.Kind == kindSettings:
		fmt.Fprintf(out, "%s: settings in order\n", c.File)
		return commandline.PrintSummaries(out, commandline.OutputFlag{}, report.Programs...)
	case report.Ingress != nil && report.Ingress.Catalogue != "":
		writeCatalogue(out, report.Ingress.Catalogue, report.Revisions)
	case report.Kind == kindCatalogue:
		writeCatalogue(out, c.File, report.Revisions)
	}
	return nil
}
