package commandline

import (
	"fmt"
	"io"
	"slices"

	"mulleinrouter/internal/cluster/settings"
)

// Programs of the system, as settings.Settings.Require names them.
const (
	Proxy   = "proxy"
	Agent   = "agent"
	Control = "control"
)

// Classes of machines, as settings files name them.
const (
	edgeMachine = "edge"
	coreMachine = "core"
)

// CheckCommand checks a settings file, and prints the settings that matter to a program.
type CheckCommand struct {
	SettingsArgument
	OutputFlag
}

// Check loads the file for a program, and prints the settings that matter to it.
func (cc *CheckCommand) Check(out io.Writer, program string) error {
	s, err := Load(cc.File, program)
	if err != nil {
		return err
	}
	return PrintSummaries(out, cc.OutputFlag, Summarize(s, program))
}

// Programs returns the programs that a settings file is for: the program named by its role or, if the role is not a
// program, the programs of its machine class. It returns none if the file has neither.
func Programs(s *settings.Settings) []string {
	switch {
	case slices.Contains([]string{Proxy, Agent, Control}, s.Role):
		return []string{s.Role}
	case s.Class == edgeMachine:
		return []string{Proxy, Agent}
	case s.Class == coreMachine:
		return []string{Control}
	}
	return nil
}

// Summary is the settings that matter to a program. Addresses are host:port; those that the program does not use are
// empty.
type Summary struct {
	Program     string `json:"program"` // proxy, agent or control
	Node        string `json:"node"`
	Zone        string `json:"zone"`
	FrontAddr   string `json:"frontAddr,omitempty"`   // proxy: for clients
	ReadyAddr   string `json:"readyAddr,omitempty"`   // proxy: of the readiness check
	AgentAddr   string `json:"agentAddr,omitempty"`   // proxy and agent: of the agent
	ControlAddr string `json:"controlAddr,omitempty"` // control: for operators and servers
	InnerAddr   string `json:"innerAddr,omitempty"`   // control: for the system's other processes
	DataPath    string `json:"dataPath,omitempty"`    // control: the folder on the machine's disk
	Bootstrap   bool   `json:"bootstrap,omitempty"`   // control: this is the first start of the system
	// Seeds are the inner addresses of control nodes for an agent, and their control addresses for a control node.
	Seeds []string `json:"seeds,omitempty"`
}

// Summarize returns the settings that matter to a program.
func Summarize(s *settings.Settings, program string) Summary {
	summary := Summary{Program: program, Node: s.Node, Zone: s.Zone}
	switch program {
	case Proxy:
		summary.FrontAddr, summary.ReadyAddr, summary.AgentAddr = s.FrontAddr, s.ReadyAddr, s.AgentAddr()
	case Agent:
		summary.AgentAddr = s.AgentAddr()
		for _, seed := range s.Seeds {
			summary.Seeds = append(summary.Seeds, s.InternalAddrOf(seed))
		}
	case Control:
		summary.ControlAddr, summary.InnerAddr = s.ControlAddr, s.InternalAddr()
		summary.DataPath, summary.Bootstrap, summary.Seeds = s.DataPath, s.Bootstrap, s.Seeds
	}
	return summary
}

// PrintSummaries prints summaries, each as a line of JSON or as text.
func PrintSummaries(out io.Writer, form OutputFlag, summaries ...Summary) error {
	for _, summary := range summaries {
		if err := form.Print(out, summary, summary.writeText); err != nil {
			return err
		}
	}
	return nil
}

// writeText writes a summary for operators.
func (s Summary) writeText(out io.Writer) error {
	fmt.Fprintf(out, "node %s in %s, ", s.Node, s.Zone)
	switch s.Program {
	case Proxy:
		fmt.Fprintf(out, "clients at %s, readiness at %s, agent at %s\n", s.FrontAddr, s.ReadyAddr, s.AgentAddr)
	case Agent:
		fmt.Fprintf(out, "proxy at %s\n", s.AgentAddr)
	case Control:
		fmt.Fprintf(out, "control at %s, inner at %s, disk at %s, bootstrap %t\n",
			s.ControlAddr, s.InnerAddr, s.DataPath, s.Bootstrap)
	}
	for _, seed := range s.Seeds {
		if _, err := fmt.Fprintf(out, "control node at %s\n", seed); err != nil {
			return err
		}
	}
	return nil
}
