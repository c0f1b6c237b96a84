package faulttest

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"mulleinrouter/internal/emulator/faultnet"
	"mulleinrouter/internal/standalone/hclfile"
)

// stepBlock is an at block of a file. It names one action, by an attribute or a block that has the name of the action.
type stepBlock struct {
	At            string     `hcl:"at,label"`
	Stop          []string   `hcl:"stop,optional"`
	Kill          []string   `hcl:"kill,optional"`
	Start         []string   `hcl:"start,optional"`
	Twin          []string   `hcl:"twin,optional"`
	Save          []string   `hcl:"save,optional"`
	Terminate     []string   `hcl:"term,optional"`
	Upgrade       []string   `hcl:"upgrade,optional"`
	LameDuck      []string   `hcl:"lameduck,optional"`
	Fill          []string   `hcl:"fill,optional"`
	Disk          []string   `hcl:"disk,optional"`
	DiskFault     string     `hcl:"fails,optional"`
	Reload        []string   `hcl:"reload,optional"`
	TransferLease []string   `hcl:"give,optional"`
	Revise        []string   `hcl:"revise,optional"`
	Garbage       []string   `hcl:"rubbish,optional"`
	Counter       string     `hcl:"counter,optional"`
	Shift         bool       `hcl:"shift,optional"`
	Server        int        `hcl:"server,optional"`
	Keys          string     `hcl:"keys,optional"`
	Folder        string     `hcl:"folder,optional"`
	KilledDuring  string     `hcl:"dies,optional"`
	Voters        string     `hcl:"voters,optional"`
	Duration      string     `hcl:"for,optional"`
	Link          *linkBlock `hcl:"link,block"`
}

// linkBlock is a link block of a step.
type linkBlock struct {
	From          []string `hcl:"from,optional"`
	To            []string `hcl:"to,optional"`
	Bidirectional bool     `hcl:"both,optional"`
	Protocol      string   `hcl:"protocol,optional"`
	Loss          float64  `hcl:"loss,optional"`
	Delay         string   `hcl:"delay,optional"`
	Jitter        string   `hcl:"jitter,optional"`
	Double        float64  `hcl:"double,optional"`
	Reorder       float64  `hcl:"reorder,optional"`
	Cut           bool     `hcl:"cut,optional"`
	Longest       int      `hcl:"longest,optional"`
}

// undoableActions are the actions that may have a duration.
var undoableActions = []Action{ActionStop, ActionLink, ActionFill, ActionLameDuck, ActionDisk, ActionServer}

// leaseHolderActions are the actions that may apply to the lease holder instead of named members.
var leaseHolderActions = []Action{ActionStop, ActionKill, ActionDisk, ActionFill, ActionRevise, ActionUpgrade}

// memberAction is an action with the members that a block names for it; nil: it does not name the action.
type memberAction struct {
	action  Action
	members []string
}

func (s *stepBlock) memberActions() []memberAction {
	return []memberAction{
		{ActionStop, s.Stop},
		{ActionKill, s.Kill},
		{ActionStart, s.Start},
		{ActionTwin, s.Twin},
		{ActionSave, s.Save},
		{ActionTerminate, s.Terminate},
		{ActionUpgrade, s.Upgrade},
		{ActionLameDuck, s.LameDuck},
		{ActionFill, s.Fill},
		{ActionReload, s.Reload},
		{ActionGarbage, s.Garbage},
		{ActionTransferLease, s.TransferLease},
		{ActionDisk, s.Disk},
		{ActionRevise, s.Revise},
	}
}

// stepParser makes a step from a block.
type stepParser struct {
	scenario *Scenario
	file     *hclfile.File
	path     string // path of the block in the file, for errors
	block    *stepBlock
	step     Step
	actions  int // number of actions that the block names
}

// parseStep makes a step from a block and checks it.
func parseStep(scenario *Scenario, file *hclfile.File, block *stepBlock) (Step, error) {
	p := &stepParser{scenario: scenario, file: file, path: "at." + block.At, block: block}
	if strings.Contains(block.At, ".") {
		p.path = "at" // dots separate the parts of a path in hclfile
	}
	parsers := []func() error{
		p.parseTimes,
		p.parseMemberActions,
		p.parseKeys,
		p.parseCounter,
		p.parseServer,
		p.parseShift,
		p.parseVoters,
		p.parseLink,
		p.checkOneAction,
		p.parseDiskFault,
		p.parseUpgrade,
		p.parseFolder,
		p.checkDuration,
	}
	for _, parse := range parsers {
		if err := parse(); err != nil {
			return Step{}, err
		}
	}
	return p.step, nil
}

// errorAt returns an error at an attribute of the block. An empty name means the block itself.
func (sp *stepParser) errorAt(attribute, text string) error {
	path := sp.path
	if attribute != "" {
		path += "." + attribute
	}
	return sp.file.ErrorAt(path, text)
}

// setAction records an action that the block names.
func (sp *stepParser) setAction(action Action, argument string) {
	sp.step.Action = action
	sp.step.Argument = argument
	sp.actions++
}

func (sp *stepParser) parseTimes() (err error) {
	if sp.step.At, err = sp.file.Duration(sp.path, sp.block.At, 0); err != nil {
		return err
	}
	if sp.step.At > sp.scenario.Duration {
		return sp.errorAt("", fmt.Sprintf("%v is past the end, %v", sp.step.At, sp.scenario.Duration))
	}
	sp.step.Duration, err = sp.file.Duration(sp.path+".for", sp.block.Duration, 0)
	return err
}

// parseMemberActions reads the actions that apply to members. An action on the lease holder has no members, because
// the holder is only known when the step is carried out.
func (sp *stepParser) parseMemberActions() (err error) {
	for _, named := range sp.block.memberActions() {
		if named.members == nil {
			continue
		}
		isHolder := len(named.members) == 1 && named.members[0] == leaseHolderMember
		if isHolder && slices.Contains(leaseHolderActions, named.action) {
			named.members = nil
		}
		path := sp.path + "." + string(named.action)
		if sp.step.Members, err = sp.scenario.parseMembers(sp.file, path, named.members); err != nil {
			return err
		}
		sp.setAction(named.action, "")
	}
	return nil
}

func (sp *stepParser) parseKeys() error {
	change := sp.block.Keys
	if change == "" {
		return nil
	}
	if !sp.scenario.Encrypted || !slices.Contains([]string{keysAdd, keysReverse, keysDrop}, change) {
		return sp.errorAt("keys", "must be one of add, turn and drop, and is only allowed with sealed = true")
	}
	sp.setAction(ActionKeys, change)
	return nil
}

func (sp *stepParser) parseCounter() error {
	change := sp.block.Counter
	if change == "" {
		return nil
	}
	if !slices.Contains([]string{counterRemoved, counterRestored, counterEmpty, counterSplit}, change) {
		return sp.errorAt("counter", "must be one of gone, back, empty and split")
	}
	sp.setAction(ActionCounter, change)
	return nil
}

func (sp *stepParser) parseServer() error {
	number := sp.block.Server
	if number == 0 {
		return nil
	}
	if number < 1 || number > max(1, sp.scenario.QuoteServers) {
		return sp.errorAt("server", "must be the number of a quote server")
	}
	sp.setAction(ActionServer, strconv.Itoa(number))
	return nil
}

func (sp *stepParser) parseShift() error {
	if sp.block.Shift {
		sp.setAction(ActionShift, "")
	}
	return nil
}

func (sp *stepParser) parseVoters() error {
	if sp.block.Voters == "" {
		return nil
	}
	change, name, _ := strings.Cut(sp.block.Voters, " ")
	isChange := change == votersAdd || change == votersRemove
	if sp.scenario.Voters == 0 || !slices.Contains(sp.scenario.Names(), name) || !isChange {
		return sp.errorAt("voters", "must be add or remove and the name of a member; the fleet must have voters")
	}
	sp.setAction(ActionVoters, sp.block.Voters)
	return nil
}

func (sp *stepParser) parseLink() (err error) {
	if sp.block.Link == nil {
		return nil
	}
	if sp.step.LinkFault, err = parseLink(sp.scenario, sp.file, sp.path+".link", sp.block.Link); err != nil {
		return err
	}
	sp.setAction(ActionLink, "")
	return nil
}

func (sp *stepParser) checkOneAction() error {
	if sp.actions != 1 {
		return sp.errorAt("", "an at block must have exactly one action")
	}
	return nil
}

// parseDiskFault reads how a disk fails. It also rejects a new revision in a scenario without a catalogue.
func (sp *stepParser) parseDiskFault() error {
	_, known := diskFaults[sp.block.DiskFault]
	if known != (sp.step.Action == ActionDisk) {
		return sp.errorAt("fails", "must be one of write, torn, full, sync and rename, and is only allowed with disk")
	}
	if sp.step.Action == ActionRevise && !sp.scenario.Catalogue {
		return sp.errorAt("revise", "there is no catalogue")
	}
	if sp.step.Action == ActionDisk {
		sp.step.Argument = sp.block.DiskFault
	}
	return nil
}

func (sp *stepParser) parseUpgrade() error {
	killed := sp.block.KilledDuring
	if killed != "" && (sp.step.Action != ActionUpgrade || killed != killedOld && killed != killedNew) {
		return sp.errorAt("dies", "must be old or young, and is only allowed with upgrade")
	}
	if sp.step.Action == ActionUpgrade {
		sp.step.Argument = killed
	}
	return nil
}

func (sp *stepParser) parseFolder() error {
	folder := sp.block.Folder
	if folder == "" {
		return nil
	}
	if sp.step.Action != ActionStart || !slices.Contains([]string{folderKept, folderEmpty, folderSaved}, folder) {
		return sp.errorAt("folder", "must be one of kept, empty and saved, and is only allowed with start")
	}
	sp.step.Argument = folder
	return nil
}

func (sp *stepParser) checkDuration() error {
	if sp.step.Duration > 0 && !slices.Contains(undoableActions, sp.step.Action) {
		return sp.errorAt("for", "is only allowed with stop, link, fill, disk, server and lameduck")
	}
	return nil
}

// parseLink makes a link fault from a block. If the block leaves out one end of the links, any member or fake may be at
// that end.
func parseLink(scenario *Scenario, file *hclfile.File, path string, block *linkBlock) (l LinkFault, err error) {
	l.Bidirectional = block.Bidirectional
	if l.From, err = parseLinkEnds(scenario, file, path+".from", block.From); err != nil {
		return l, err
	}
	if l.To, err = parseLinkEnds(scenario, file, path+".to", block.To); err != nil {
		return l, err
	}
	if l.Fault, err = parseFault(file, path, block); err != nil {
		return l, err
	}
	switch block.Protocol {
	case "":
		l.Protocol = faultnet.AllProtocols
	case "datagrams":
		l.Protocol = faultnet.Datagrams
	case "streams":
		l.Protocol = faultnet.Streams
	default:
		text := fmt.Sprintf("%q is neither \"datagrams\" nor \"streams\"", block.Protocol)
		return l, file.ErrorAt(path+".protocol", text)
	}
	return l, nil
}

func parseLinkEnds(scenario *Scenario, file *hclfile.File, path string, words []string) ([]string, error) {
	if words == nil {
		return []string{faultnet.AnyNode}, nil
	}
	return scenario.parseMembers(file, path, words, fakeNames()...)
}

func parseFault(file *hclfile.File, path string, block *linkBlock) (fault faultnet.Fault, err error) {
	fault = faultnet.Fault{
		Loss:      block.Loss,
		Duplicate: block.Double,
		Reorder:   block.Reorder,
		Cut:       block.Cut,
		MaxSize:   block.Longest,
	}
	if fault.Delay, err = file.Duration(path+".delay", block.Delay, 0); err != nil {
		return fault, err
	}
	if fault.Jitter, err = file.Duration(path+".jitter", block.Jitter, 0); err != nil {
		return fault, err
	}
	if err := fault.Validate(); err != nil {
		return fault, file.ErrorAt(path, err.Error())
	}
	if fault == (faultnet.Fault{}) {
		return fault, file.ErrorAt(path, "no fault is named")
	}
	return fault, nil
}
