package faulttest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestConfigTemplate(t *testing.T) {
	minimal := memberConfig{
		Name:          "n1",
		ClientAddr:    "127.64.1.1:1",
		Dir:           "/dir/n1",
		DiscoveryAddr: "127.0.0.1:2",
		CounterAddr:   "127.0.0.1:3",
		Ingresses:     2,
		Fleet:         "127.64.1",
		GossipAddr:    "127.64.1.1:4",
		RelayAddr:     "127.0.0.1:5",
		Seeds:         quoteList([]string{"127.0.0.1:5", "127.0.0.1:6"}),
		Interval:      defaultInterval,
	}
	roles := minimal
	roles.Number = 1
	roles.KeyFile = "/dir/fleet.key"
	roles.Voters = quoteList([]string{"n1", "n2", "n3"})
	roles.UsageDir = "/dir/n1.usage"
	roles.BillingURL = "http://127.0.0.1:7/v1/batches"
	roles.PlansFile = "/dir/n1.plans.hcl"
	customers := minimal
	customers.ShareQuotas = true
	customers.HasCustomers = true
	customers.Quota = 2.5
	for _, test := range []struct {
		name   string
		config memberConfig
	}{
		{"minimal", minimal},
		{"roles", roles},
		{"customers", customers},
	} {
		t.Run(test.name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata", test.name+".hcl"))
			if err != nil {
				t.Fatal(err)
			}
			var got strings.Builder
			if err := configTemplate.Execute(&got, test.config); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got.String()); diff != "" {
				t.Errorf("configuration (-want +got):\n%s", diff)
			}
		})
	}
}
