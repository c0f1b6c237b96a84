// Package catalogue reads, writes and watches the HCL file that contains the catalogue of plans. Operators' commands
// replace the file as a whole, and every ingress watches it.
//
// It may import plans, which defines the meaning of a revision, hclfile and decision. Only the operators' commands
// write the file, with Save. A Watcher only reads it.
package catalogue
