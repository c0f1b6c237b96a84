// Package config reads the configuration of an ingress, in either of its two forms: the platform's JSON, which
// variables of the environment name and complete, and our own HCL.
//
// It may import the packages whose settings it reads (decision, discovery, plans, settings, the keyring of the
// fleet) and hclfile and jsontext for the forms. A Config belongs to the caller. Errors about HCL are of type
// *hclfile.Error.
//
// The files: config.go (the types), platform.go (JSON and variables), hcl.go (the form of our own file, its
// addresses and servers), hclfleet.go (fleet, membership, counter), hclpolicy.go (rules, classes, plans),
// errors.go. Tests are beside them.
package config
