package cli

import (
	"cmp"
	"fmt"
	"os"
	"regexp"
	"strings"

	"mulleinrouter/internal/standalone/config"
)

// CheckCommand checks a file.
type CheckCommand struct {
	File string `arg:"" name:"file" type:"path" help:"${checkFile}"`
}

// fileKind is what a file can be.
type fileKind int

const (
	kindPlatform  fileKind = iota // a configuration in the platform's form
	kindHCL                       // a configuration in our own form
	kindCatalogue                 // a catalogue of plans
)

var revisionBlock = regexp.MustCompile(`(?m)^\s*revision\s+"`)

// kind recognizes a file by its content.
func (c *CheckCommand) kind() (fileKind, error) {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return 0, err
	}
	switch {
	case strings.HasPrefix(strings.TrimSpace(string(text)), "{"):
		return kindPlatform, nil
	case revisionBlock.Match(text):
		return kindCatalogue, nil
	}
	return kindHCL, nil
}

// Run prints what is in the file.
func (c *CheckCommand) Run(p *Program) error {
	kind, err := c.kind()
	if err != nil {
		return fileError{err}
	}
	if kind == kindCatalogue {
		return showCatalogue(p.out, c.File)
	}
	checked, err := c.load(kind)
	if err != nil {
		return fileError{err}
	}
	c.show(p, checked)
	if checked.Catalogue != "" {
		return showCatalogue(p.out, checked.Catalogue)
	}
	return nil
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

// show prints a configuration.
func (c *CheckCommand) show(p *Program, checked *config.Config) {
	s := checked.Settings
	servers := "from discovery at " + checked.Discovery
	if checked.Static {
		servers = fmt.Sprintf("%d written down", len(checked.Known.Targets))
	}
	counter := cmp.Or(checked.Counter, "none")
	if checked.Embedded != "" {
		counter = "embedded, at " + checked.Embedded
	}
	usage := "not recorded"
	if u := checked.Usage; u != nil {
		usage = fmt.Sprintf("recorded in %s, told to %s", u.Dir, cmp.Or(u.Endpoint, "nobody"))
	}
	fmt.Fprintf(p.out, "%s: a configuration in order\n", c.File)
	t := newTable(p.out)
	for _, row := range []struct{ label, value string }{
		{"listens at", checked.Listen},
		{"ingress", fmt.Sprintf("%d of %d", s.Index+1, max(1, s.Gateways))},
		{"quote servers", servers},
		{"counter", counter},
		{"classes", fmt.Sprint(len(s.Classes))},
		{"plans", fmt.Sprint(len(s.Plans))},
		{"catalogue", cmp.Or(checked.Catalogue, "none")},
		{"use", usage},
	} {
		fmt.Fprintf(t, "%s\t%s\n", row.label, row.value)
	}
	t.Flush()
}
