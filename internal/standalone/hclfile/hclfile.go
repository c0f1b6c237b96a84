package hclfile

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"mulleinrouter/internal/decision"
)

const millisecondsPerSecond = 1000

// File is a file that has been parsed.
type File struct {
	Name string
	body *hclsyntax.Body
}

// Parse reads a file's text into a struct with hcl tags. Unknown keys are errors, with a suggestion of what may
// have been meant. Errors are of type *Error.
func Parse(name string, text []byte, into any) (*File, error) {
	parsed, diagnostics := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diagnostics.HasErrors() {
		return nil, newError(name, diagnostics)
	}
	body := parsed.Body.(*hclsyntax.Body)
	if diagnostics = findHugeNumbers(body); diagnostics.HasErrors() {
		return nil, newError(name, diagnostics)
	}
	if diagnostics = gohcl.DecodeBody(parsed.Body, nil, into); diagnostics.HasErrors() {
		return nil, newError(name, diagnostics)
	}
	return &File{Name: name, body: body}, nil
}

// maxExponent bounds the binary exponent of a number in a file; no setting needs more.
const maxExponent = 1024

// findHugeNumbers finds numbers of more digits than any setting has. Where the library turns one into text it
// writes all of its digits: a file of one line blocked a start and a reload for ever (found by FuzzHCL).
func findHugeNumbers(body *hclsyntax.Body) hcl.Diagnostics {
	return hclsyntax.VisitAll(body, func(node hclsyntax.Node) (diagnostics hcl.Diagnostics) {
		literal, ok := node.(*hclsyntax.LiteralValueExpr)
		if !ok || literal.Val.IsNull() || literal.Val.Type() != cty.Number {
			return nil
		}
		if e := literal.Val.AsBigFloat().MantExp(nil); e > maxExponent || e < -maxExponent {
			place := literal.Range()
			diagnostics = append(diagnostics, &hcl.Diagnostic{
				Severity: hcl.DiagError,
				Summary:  "Unsuitable number",
				Detail:   "It has more digits than any setting.",
				Subject:  &place,
			})
		}
		return diagnostics
	})
}

// ErrorAt makes an error about a place named by a path, such as `plan.plus.rate`: the attribute or the block that
// it leads to, or as far as it leads.
func (f *File) ErrorAt(path, text string) *Error {
	pos := f.locate(path)
	return &Error{File: f.Name, Line: pos.Line, Column: pos.Column, Text: path + ": " + text}
}

// locate is the position of a path.
func (f *File) locate(path string) hcl.Pos {
	body, pos, words := f.body, hcl.InitialPos, strings.Split(path, ".")
	for len(words) > 0 {
		if a := body.Attributes[words[0]]; a != nil {
			return a.SrcRange.Start
		}
		block, used := findBlock(body, words)
		if block == nil {
			break
		}
		body, pos, words = block.Body, block.DefRange().Start, words[used:]
	}
	return pos
}

// findBlock is the block that a path's first words name by its type and its labels, and how many words these are;
// nil: there is none.
func findBlock(body *hclsyntax.Body, words []string) (*hclsyntax.Block, int) {
	for _, b := range body.Blocks {
		if b.Type != words[0] || len(b.Labels) >= len(words) && len(b.Labels) > 0 {
			continue
		}
		same := true
		for i, label := range b.Labels {
			same = same && label == words[i+1]
		}
		if same {
			return b, 1 + len(b.Labels)
		}
	}
	return nil, 0
}

// Duration reads a span such as "250ms" or "1m30s" at a path. Empty: the default value.
func (f *File) Duration(path, text string, defaultValue time.Duration) (time.Duration, error) {
	if text == "" {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, f.ErrorAt(path, fmt.Sprintf("not a span of time such as \"250ms\" or \"1m30s\": %q", text))
	}
	return d, nil
}

// Time reads a time of RFC 3339 at a path, as Unix seconds rounded down to milliseconds. Empty: 0.
func (f *File) Time(path, text string) (decision.Seconds, error) {
	if text == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, f.ErrorAt(path, fmt.Sprintf("not a time such as \"2026-12-01T10:00:00Z\": %q", text))
	}
	return float64(t.UnixMilli()) / millisecondsPerSecond, nil
}

// ResolvePath makes a relative path in a file one from the file's own folder.
func (f *File) ResolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.Name), path)
}
