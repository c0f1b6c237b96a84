// Package state stores data that must outlive a process, in one file for each process and kind of content. A file
// is replaced atomically, has a format version, a checksum and the name of its ingress, and is read completely or
// not at all.
//
// It imports vfs and jsontext. A Folder keeps nothing in memory but the names of its files. The content belongs to the
// caller, and the file to the process that wrote it. The content is JSON, so the tags of the types that callers write
// must not change.
//
// The tests in this folder cover damaged files, failing disks, and files of an earlier version (golden_test.go).
package state
