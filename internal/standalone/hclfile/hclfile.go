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

// File is a parsed file. Callers use it to report errors of values at their positions.
type File struct {
	Name string
	body *hclsyntax.Body
}

// Parse decodes a file's text into a struct with hcl tags. An unknown key is an error, with the suggestion of a
// similar known key if there is one. Errors are of type *Error.
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

// maxExponent is the largest absolute value of the binary exponent of a number in a file. No setting needs more.
const maxExponent = 1024

// findHugeNumbers reports numbers whose exponent is beyond maxExponent. When the HCL library converts a number to
// text, it writes every digit, so a number such as 9e99999999 made a start or a reload hang (found by FuzzHCL in
// package config).
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

// ErrorAt returns an error at the attribute or block that a path names, such as `plan.plus.rate`. If the file has no
// such element, the position is that of the innermost enclosing block that exists, or the start of the file.
func (f *File) ErrorAt(path, text string) *Error {
	pos := f.locate(path)
	return &Error{File: f.Name, Line: pos.Line, Column: pos.Column, Text: path + ": " + text}
}

// locate returns the position of a path, as ErrorAt describes it.
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

// findBlock returns the block whose type and labels are the first words of a path, and the number of these words. It
// returns nil if there is no such block.
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

// Duration parses a duration such as "250ms" or "1m30s", which must not be negative. An empty text means the default
// value. The path is where an error is reported.
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

// Time parses a time of RFC 3339 to Unix seconds, rounded down to milliseconds. An empty text means 0. The path is
// where an error is reported.
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

// ResolvePath resolves a relative path against the folder of the file. An empty path stays empty.
func (f *File) ResolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.Name), path)
}
