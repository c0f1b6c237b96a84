// Package vfs is the interface between the file system and stores that replace complete files. It has two
// implementations: OS is the machine's file system, and Faulty fails on demand, so that tests can make any write, sync
// or rename fail, partially or completely.
//
// It imports only the standard library and holds no state except Faulty's. Package state and the fault tests test
// it; they use Faulty.
package vfs
