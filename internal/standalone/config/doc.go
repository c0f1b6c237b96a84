// Package config reads the configuration of an ingress in either of its two formats. One is the platform's JSON, whose
// file is named by an environment variable and whose values other variables override or complete. The other is the
// project's own HCL.
//
// It may import the packages whose settings it reads (decision, discovery, faultinjection, logging, plans, settings,
// the keyring of the fleet), and hclfile and jsontext for the formats. A Config belongs to the caller. Errors in the
// content of HCL files are of type *hclfile.Error.
//
// The files are config.go (the types), platform.go (JSON and variables), hcl.go (the blocks of an HCL file, its
// addresses and servers), hclfleet.go (fleet, membership, counter), hclpolicy.go (rules, classes, plans, catalogue,
// usage) and errors.go.
package config
