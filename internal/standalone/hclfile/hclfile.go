// Package hclfile reads our own files, which are HCL, and tells what is wrong in one with its line and column.
package hclfile

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"mulleinrouter/internal/decision"
)

// Error is what is wrong at one place of a file.
type Error struct {
	File         string
	Line, Column int // from 1
	Text         string
	More         int // further errors in the same file
}

func (e *Error) Error() string {
	text := fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
	if e.More > 0 {
		text += fmt.Sprintf(" (and %d more)", e.More)
	}
	return text
}

// File is one that has been read.
type File struct {
	Name string
	body *hclsyntax.Body
}

// Parse reads a file's text into a struct with hcl tags. Unknown keys are errors, with what may have been meant.
func Parse(name string, text []byte, into any) (*File, error) {
	parsed, diags := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, first(name, diags)
	}
	if diags = endless(parsed.Body.(*hclsyntax.Body)); diags.HasErrors() {
		return nil, first(name, diags)
	}
	if diags = gohcl.DecodeBody(parsed.Body, nil, into); diags.HasErrors() {
		return nil, first(name, diags)
	}
	return &File{Name: name, body: parsed.Body.(*hclsyntax.Body)}, nil
}

// mostExponent is that of a number in a file, of two: more than any setting means.
const mostExponent = 1024

// endless finds numbers of more digits than any setting has. Where the library turns one into text it writes all of them: a
// file of one line kept a start and a reload waiting for ever (found by FuzzHCL).
func endless(body *hclsyntax.Body) hcl.Diagnostics {
	return hclsyntax.VisitAll(body, func(node hclsyntax.Node) (diags hcl.Diagnostics) {
		literal, ok := node.(*hclsyntax.LiteralValueExpr)
		if !ok || literal.Val.IsNull() || literal.Val.Type() != cty.Number {
			return nil
		}
		if e := literal.Val.AsBigFloat().MantExp(nil); e > mostExponent || e < -mostExponent {
			at := literal.Range()
			diags = append(diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "Unsuitable number",
				Detail: "It has more digits than any setting.", Subject: &at})
		}
		return diags
	})
}

// first makes one error of what the library found. Its texts may run over several lines; ours are one line each.
func first(name string, diags hcl.Diagnostics) error {
	var errs []*hcl.Diagnostic
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			errs = append(errs, d)
		}
	}
	// A key written wrong is found twice, as one too many and as one that is missing: the first tells where.
	slices.SortStableFunc(errs, func(a, b *hcl.Diagnostic) int {
		rank := func(d *hcl.Diagnostic) int {
			if strings.HasPrefix(d.Summary, "Unsupported") {
				return 0
			}
			return 1
		}
		return rank(a) - rank(b)
	})
	e := &Error{File: name, Line: 1, Column: 1, More: len(errs) - 1}
	if s := errs[0].Subject; s != nil {
		e.Line, e.Column = s.Start.Line, s.Start.Column
	}
	e.Text = strings.Join(strings.Fields(errs[0].Summary+": "+errs[0].Detail), " ")
	return e
}

// ErrorAt makes an error about a place named by a path, such as `plan.plus.rate`: the attribute or the block that it
// leads to, or as far as it leads.
func (f *File) ErrorAt(path, text string) error {
	at := f.locate(path)
	return &Error{File: f.Name, Line: at.Line, Column: at.Column, Text: path + ": " + text}
}

func (f *File) locate(path string) hcl.Pos {
	body, at, words := f.body, hcl.InitialPos, strings.Split(path, ".")
	for len(words) > 0 {
		if a := body.Attributes[words[0]]; a != nil {
			return a.SrcRange.Start
		}
		block, used := find(body, words)
		if block == nil {
			break
		}
		body, at, words = block.Body, block.DefRange().Start, words[used:]
	}
	return at
}

// find is the block that a path's first words name, by its type and its labels, and how many words that took.
func find(body *hclsyntax.Body, words []string) (*hclsyntax.Block, int) {
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

// Duration reads a span such as "250ms" or "1m30s" at a path. Empty: the other value.
func (f *File) Duration(path, text string, otherwise time.Duration) (time.Duration, error) {
	if text == "" {
		return otherwise, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, f.ErrorAt(path, fmt.Sprintf("not a span of time such as \"250ms\" or \"1m30s\": %q", text))
	}
	return d, nil
}

// Time reads a time of RFC 3339 at a path, as Unix seconds. Empty: 0.
func (f *File) Time(path, text string) (decision.Seconds, error) {
	if text == "" {
		return 0, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, f.ErrorAt(path, fmt.Sprintf("not a time such as \"2026-12-01T10:00:00Z\": %q", text))
	}
	return float64(t.UnixMilli()) / 1000, nil
}

// ResolvePath makes a path in a file one from the file's own folder.
func (f *File) ResolvePath(path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(f.Name), path)
}

// Plan is a plan as files have it; units are those that requests count, rates are units a second.
type Plan struct {
	Name         string  `hcl:"name,label"`
	Rate         float64 `hcl:"rate,optional"`
	Burst        float64 `hcl:"burst,optional"`
	Open         int     `hcl:"open,optional"`
	Price        float64 `hcl:"price,optional"`
	ExcessWorth  float64 `hcl:"excess_worth,optional"`
	BeyondCosts  float64 `hcl:"beyond_costs,optional"`
	CeilingRate  float64 `hcl:"ceiling_rate,optional"`
	CeilingDepth float64 `hcl:"ceiling_depth,optional"`
	CeilingSlack float64 `hcl:"ceiling_slack,optional"`
}

// Plan is the plan in the module's form.
func (p Plan) Plan() decision.Plan {
	return decision.Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst, MaxInFlight: p.Open, ValueWeight: p.Price, ExcessValue: p.ExcessWorth,
		ExcessCost: p.BeyondCosts, LimitRate: p.CeilingRate, LimitBurst: p.CeilingDepth, LimitSlack: p.CeilingSlack}
}

// FromPlan is the opposite.
func FromPlan(p decision.Plan) Plan {
	return Plan{Name: p.Name, Rate: p.Rate, Burst: p.Burst, Open: p.MaxInFlight, Price: p.ValueWeight, ExcessWorth: p.ExcessValue,
		BeyondCosts: p.ExcessCost, CeilingRate: p.LimitRate, CeilingDepth: p.LimitBurst, CeilingSlack: p.LimitSlack}
}
