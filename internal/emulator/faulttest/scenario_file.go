package faulttest

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"mulleinrouter/deploy/faulttests"
	"mulleinrouter/internal/standalone/hclfile"
)

const (
	maxIngresses = 120 // must be below twinHost, because the members' addresses end in 1 to maxIngresses
	maxDuration  = time.Hour
	maxCustomers = 100
	minQuota     = 1 // units per second of each customer
	maxQuota     = 1000
	minClockRate = 0.5 // seconds that a member's clock advances per second
	maxClockRate = 2
)

// voterCounts are the sizes that the group of voters may have.
var voterCounts = []int{0, 1, 3, 5}

// scenarioFile is the content of a scenario file.
type scenarioFile struct {
	Name         string             `hcl:"name"`
	Seed         uint64             `hcl:"seed,optional"`
	Ingresses    int                `hcl:"ingresses"`
	Interval     string             `hcl:"interval,optional"`
	Encrypted    bool               `hcl:"sealed,optional"`
	Idle         bool               `hcl:"quiet,optional"`
	Voters       int                `hcl:"voters,optional"`
	ClockRates   map[string]float64 `hcl:"clocks,optional"`
	QuoteServers int                `hcl:"servers,optional"`
	ShareQuotas  bool               `hcl:"share,optional"`
	Customers    int                `hcl:"customers,optional"`
	Quota        float64            `hcl:"quota,optional"`
	Catalogue    bool               `hcl:"catalogue,optional"`
	Duration     string             `hcl:"lasts"`
	Steps        []stepBlock        `hcl:"at,block"`
	Expectations []expectationBlock `hcl:"expect,block"`
}

// expectationBlock is an expect block of a file.
type expectationBlock struct {
	Kind      string   `hcl:"kind,label"`
	Members   []string `hcl:"of,optional"`
	Observers []string `hcl:"by,optional"`
	Value     string   `hcl:"is,optional"`
	After     string   `hcl:"after,optional"`
	Within    string   `hcl:"within,optional"`
	Max       float64  `hcl:"most,optional"`
	Min       float64  `hcl:"least,optional"`
}

// Read reads a scenario file. Its errors are a *SetupError, or a *hclfile.Error with file, line and column.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, wrapSetup(err)
	}
	return Parse(path, text)
}

// Shipped reads one of the scenarios that ship with the program, by its name. It returns an *UnknownScenarioError if
// there is none.
func Shipped(name string) (*Scenario, error) {
	text, err := faulttests.Files.ReadFile(name + ".hcl")
	if err != nil {
		return nil, &UnknownScenarioError{Name: name}
	}
	return Parse(name+".hcl", text)
}

// Parse makes a scenario from a file's text and checks it. Its errors are of type *hclfile.Error and contain the name.
func Parse(name string, text []byte) (*Scenario, error) {
	var content scenarioFile
	file, err := hclfile.Parse(name, text, &content)
	if err != nil {
		return nil, err
	}
	s := &Scenario{
		Name:         content.Name,
		Seed:         content.Seed,
		Ingresses:    content.Ingresses,
		Interval:     content.Interval,
		Encrypted:    content.Encrypted,
		Voters:       content.Voters,
		ClockRates:   content.ClockRates,
		QuoteServers: content.QuoteServers,
		ShareQuotas:  content.ShareQuotas,
		Customers:    content.Customers,
		Quota:        content.Quota,
		Catalogue:    content.Catalogue,
		Idle:         content.Idle,
	}
	if err := s.checkSizes(file); err != nil {
		return nil, err
	}
	if err := s.parseDurations(file, &content); err != nil {
		return nil, err
	}
	if err := s.parseSteps(file, content.Steps); err != nil {
		return nil, err
	}
	if err := s.checkClockRates(file); err != nil {
		return nil, err
	}
	if err := s.parseExpectations(file, content.Expectations); err != nil {
		return nil, err
	}
	return s, nil
}

// checkSizes checks the numbers of ingresses, voters, quote servers and customers.
func (s *Scenario) checkSizes(file *hclfile.File) error {
	if !slices.Contains(voterCounts, s.Voters) || s.Voters > s.Ingresses {
		return file.ErrorAt("voters", "must be 0, 1, 3 or 5, and at most the number of ingresses")
	}
	if s.Ingresses < 1 || s.Ingresses > maxIngresses {
		return file.ErrorAt("ingresses", fmt.Sprintf("must be from 1 to %d", maxIngresses))
	}
	if s.Catalogue && s.Voters == 0 {
		return file.ErrorAt("catalogue", "is only allowed with voters, which grant the lease for announcing revisions")
	}
	if s.QuoteServers < 0 || s.QuoteServers > len(fakeQuoteServers) {
		return file.ErrorAt("servers", fmt.Sprintf("must be from 0 to %d", len(fakeQuoteServers)))
	}
	quotaInRange := s.Quota >= minQuota && s.Quota <= maxQuota
	if s.Customers < 0 || s.Customers > maxCustomers || s.Customers > 0 && !quotaInRange {
		return file.ErrorAt("customers", "must be from 0 to 100, with a quota from 1 to 1000 units per second")
	}
	return nil
}

// parseDurations checks the interval of health checks, which stays in text form, and reads the duration.
func (s *Scenario) parseDurations(file *hclfile.File, content *scenarioFile) error {
	if _, err := file.Duration("interval", content.Interval, 0); err != nil {
		return err
	}
	var err error
	if s.Duration, err = file.Duration("lasts", content.Duration, 0); err != nil {
		return err
	}
	if s.Duration <= 0 || s.Duration > maxDuration {
		return file.ErrorAt("lasts", fmt.Sprintf("must be more than 0 and at most %v", maxDuration))
	}
	return nil
}

// parseSteps reads the steps and sorts them by time; those at the same time stay in the file's order.
func (s *Scenario) parseSteps(file *hclfile.File, blocks []stepBlock) error {
	for i := range blocks {
		step, err := parseStep(s, file, &blocks[i])
		if err != nil {
			return err
		}
		s.Steps = append(s.Steps, step)
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return nil
}

func (s *Scenario) checkClockRates(file *hclfile.File) error {
	names := s.Names()
	for name, rate := range s.ClockRates {
		inRange := rate >= minClockRate && rate <= maxClockRate
		if !slices.Contains(names, name) || !inRange {
			return file.ErrorAt("clocks", "must map members to the speed of their clock, from 0.5 to 2")
		}
	}
	return nil
}

func (s *Scenario) parseExpectations(file *hclfile.File, blocks []expectationBlock) error {
	if len(blocks) == 0 {
		return file.ErrorAt("expect", "at least one expect block is required, or the fault test could not fail")
	}
	for _, block := range blocks {
		expectation, err := s.parseExpectation(file, block)
		if err != nil {
			return err
		}
		s.Expectations = append(s.Expectations, expectation)
	}
	return nil
}

func (s *Scenario) parseExpectation(file *hclfile.File, block expectationBlock) (e Expectation, err error) {
	path := "expect." + block.Kind
	e = Expectation{Kind: ExpectationKind(block.Kind), Value: block.Value, Max: block.Max, Min: block.Min}
	values, known := expectationValues[e.Kind]
	if !known {
		return e, file.ErrorAt(path, fmt.Sprintf("unknown kind of expectation %q", block.Kind))
	}
	if !slices.Contains(values, e.Value) && (values != nil || e.Value != "") {
		return e, file.ErrorAt(path+".is", fmt.Sprintf("must be one of %q", values))
	}
	hasBounds := e.Max > 0 && e.Min >= 0
	if e.Kind == ExpectUsage && (s.Customers == 0 || !hasBounds) {
		return e, file.ErrorAt(path, "needs customers, most above 0 and least not below 0, as fractions of a quota")
	}
	if e.Members, err = s.parseMembers(file, path+".of", block.Members); err != nil {
		return e, err
	}
	if e.Observers, err = s.parseMembers(file, path+".by", block.Observers); err != nil {
		return e, err
	}
	if e.After, err = file.Duration(path+".after", block.After, 0); err != nil {
		return e, err
	}
	if e.Within, err = file.Duration(path+".within", block.Within, s.Duration-e.After); err != nil {
		return e, err
	}
	if e.After+e.Within > s.Duration || e.Within <= 0 {
		return e, file.ErrorAt(path, fmt.Sprintf("must end after it begins, and within the scenario's %v", s.Duration))
	}
	return e, nil
}

// parseMembers checks that words are names of members or contained in others, and expands "all" and ranges such as
// "n1-n3".
func (s *Scenario) parseMembers(
	file *hclfile.File, path string, words []string, others ...string,
) (members []string, err error) {
	names := s.Names()
	for _, word := range words {
		first, last, isRange := strings.Cut(word, "-")
		from, to := slices.Index(names, first), slices.Index(names, last)
		switch {
		case word == "all":
			members = append(members, names...)
		case slices.Contains(others, word) || slices.Contains(names, word):
			members = append(members, word)
		case isRange && from >= 0 && to >= from:
			members = append(members, names[from:to+1]...)
		default:
			return nil, file.ErrorAt(path, fmt.Sprintf("no member is %q: they are n1 to n%d", word, s.Ingresses))
		}
	}
	return members, nil
}
