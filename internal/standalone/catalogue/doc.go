// Package catalogue reads, writes and watches the HCL file that contains the catalogue of plans. Operators' commands
// replace the file as a whole, and every ingress watches it.
//
// The meaning of a revision is defined in package plans, which this package may import, as well as hclfile. Only the
// operators' commands write the file, with Save. A Watcher only reads it.
package catalogue
