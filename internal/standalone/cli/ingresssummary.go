package cli

import (
	"cmp"
	"fmt"
	"io"
	"strconv"

	"mulleinrouter/internal/cluster/commandline"
	"mulleinrouter/internal/standalone/config"
)

// ingressSummary is the summary of a configuration of the standalone ingress. Addresses have the form host:port, and
// those that are not configured are empty.
type ingressSummary struct {
	Listen    string `json:"listen"`
	Number    int    `json:"number"`    // position among the ingresses, from 1
	Ingresses int    `json:"ingresses"` // number of ingresses in the fleet, from 1
	Discovery string `json:"discovery,omitempty"`
	Static    bool   `json:"static"`  // the file lists the servers
	Servers   int    `json:"servers"` // number of servers that the file lists
	Counter   string `json:"counter,omitempty"`
	Embedded  string `json:"embeddedCounter,omitempty"` // address that the embedded counter listens on
	Classes   int    `json:"classes"`
	Plans     int    `json:"plans"`
	Catalogue string `json:"catalogue,omitempty"` // path of the catalogue
	// UsageDir is the folder of the usage records; empty: usage is not recorded.
	UsageDir      string `json:"usageDir,omitempty"`
	UsageEndpoint string `json:"usageEndpoint,omitempty"` // URL to which usage is exported; empty: none
}

func newIngressSummary(c *config.Config) *ingressSummary {
	s := &ingressSummary{
		Listen:    c.Listen,
		Number:    c.Settings.Index + 1,
		Ingresses: max(1, c.Settings.Gateways),
		Discovery: c.Discovery,
		Static:    c.Static,
		Counter:   c.Counter,
		Embedded:  c.Embedded,
		Classes:   len(c.Settings.Classes),
		Plans:     len(c.Settings.Plans),
		Catalogue: c.Catalogue,
	}
	if c.Static {
		s.Servers = len(c.Known.Targets)
	}
	if c.Usage != nil {
		s.UsageDir, s.UsageEndpoint = c.Usage.Dir, c.Usage.Endpoint
	}
	return s
}

// writeTable prints the summary as a table.
func (is *ingressSummary) writeTable(out io.Writer) error {
	servers := "from discovery at " + is.Discovery
	if is.Static {
		servers = fmt.Sprintf("%d listed in the configuration", is.Servers)
	}
	counter := cmp.Or(is.Counter, "none")
	if is.Embedded != "" {
		counter = "embedded, at " + is.Embedded
	}
	usage := "not recorded"
	if is.UsageDir != "" {
		usage = fmt.Sprintf("recorded in %s, export endpoint: %s", is.UsageDir, cmp.Or(is.UsageEndpoint, "none"))
	}
	table := commandline.NewTable(out)
	for _, row := range []struct{ label, value string }{
		{"listens at", is.Listen},
		{"ingress", fmt.Sprintf("%d of %d", is.Number, is.Ingresses)},
		{"quote servers", servers},
		{"counter", counter},
		{"classes", strconv.Itoa(is.Classes)},
		{"plans", strconv.Itoa(is.Plans)},
		{"catalogue", cmp.Or(is.Catalogue, "none")},
		{"use", usage},
	} {
		fmt.Fprintf(table, "%s\t%s\n", row.label, row.value)
	}
	return table.Flush()
}
