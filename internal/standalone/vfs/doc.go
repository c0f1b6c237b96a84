// Package vfs is the interface between stores that replace complete files and the file system: a few operations, the
// machine's implementation (OS), and one that fails on demand (Faulty), with which tests have any write, sync or rename
// fail, partially or completely.
//
// It imports the standard library alone and holds no state but Faulty's. Its tests are those of package state
// and of the fault tests, which use Faulty.
package vfs
