// Package vfs is the interface between the file system and stores that replace complete files. It has two
// implementations: OS is the machine's file system, and Faulty fails on demand, so that tests can make any write, sync
// or rename fail, partially or completely.
//
// It imports only the standard library and holds no state except Faulty's. It is tested by the tests of package state
// and by the fault tests, which use Faulty.
package vfs
