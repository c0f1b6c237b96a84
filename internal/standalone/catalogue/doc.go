// Package catalogue reads, writes and watches the file that holds the catalogue of plans: HCL, replaced as a whole
// by operators' commands, and followed by every ingress.
//
// What a revision means is decided in package plans, which this package may import beside hclfile. The file's
// content has one owner, the operators' commands (Save); a Watcher only reads. Tests are beside it.
package catalogue
