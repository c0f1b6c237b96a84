// Package hclfile reads our own files, which are HCL, and reports what is wrong in one with its line and column.
//
// It has no state and does no I/O: callers read the file. It may import the decision module, for the form of plans
// that configuration and catalogue share. Tests are beside it, and in config and catalogue, whose errors go through
// it.
package hclfile
