package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	maxUnits    = 2    // maximum number of units of one request
	rotateEvery = "1s" // time after which an ingress begins a new segment of its usage records
)

// ingressConfig is a format whose arguments are the number of the ingress, the address of the service discovery, the
// count of ingresses, the number again, the address of the counter, maxUnits, the number again and rotateEvery.
const ingressConfig = `
name      = "ingress-%d"
listen    = "127.0.0.1:0"
discovery = %q

fleet {
  ingresses = %d
  number    = %d
  zone      = "a"
}

counter {
  address = %q
}

rules {
  max_units = %d
}

class "quote-read" {
  aim        = "400ms"
  deadline   = "2s"
  worth      = 1
  late_worth = 0.2
  repeat     = "safe"
}

class "summary-send" {
  aim        = "800ms"
  deadline   = "2s"
  worth      = 3
  late_worth = 0.5
  repeat     = "never"
}

catalogue {
  file = "plans.hcl"
}

usage {
  dir    = "usage-%d"
  rotate = %q
}
`

// startProcesses starts the ingresses, each with an exporter of its usage records.
func (c *cluster) startProcesses() error {
	for i := range c.Ingresses {
		ingress, err := c.startIngress(i)
		if err != nil {
			return err
		}
		c.ingresses = append(c.ingresses, ingress)
		exporter, err := c.startExporter(i)
		if err != nil {
			return err
		}
		c.exporters = append(c.exporters, exporter)
	}
	return nil
}

func (c *cluster) startIngress(i int) (*Process, error) {
	path := filepath.Join(c.Dir, fmt.Sprintf("ingress-%d.hcl", i))
	text := fmt.Sprintf(ingressConfig,
		i, c.directory.Addr(), c.Ingresses, i, c.listener.Addr(), maxUnits, i, rotateEvery)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, fmt.Errorf("testcluster: %w", err)
	}
	log := filepath.Join(c.Dir, fmt.Sprintf("ingress-%d.log", i))
	return Launch(log, "process-started", c.Program, "serve", "-c", path)
}

// startExporter starts the exporter of an ingress's usage records.
func (c *cluster) startExporter(i int) (*Process, error) {
	log := filepath.Join(c.Dir, fmt.Sprintf("export-%d.log", i))
	return Launch(log, "usage-export-started",
		c.Program, "usage", "export", c.usagePath(i), "--to", c.billing.URL(), "--follow")
}
