// Package state stores what outlives a process, one file for each process and kind of content in a folder. A
// file is replaced atomically, has a format version, a checksum and the name of its ingress, and is read
// completely or not at all.
//
// It imports vfs and jsontext. A Folder holds no state beside its names: content belongs to the caller, the file to the
// process that wrote it. Content is JSON, so the tags of what callers write must not change.
//
// Tests: damaged files and failing disks beside the code; files of an earlier version (golden_test.go).
package state
