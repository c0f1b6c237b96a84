// Package hclfile parses the project's HCL files, and reports errors with their line and column.
//
// It has no state and does no I/O, because callers read the file. It may import the decision module, for the HCL
// form of plans that the configuration and the catalogue share. Its errors are also tested in packages config and
// catalogue, which return them.
package hclfile
