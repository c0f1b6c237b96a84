// Package settings reads the settings of one process: its place in the system, its limits, and the bounds of the rules
// in force. They come from a file of lines a.b=value, which may change while the process runs.
//
//   - settings.go: Settings, and the addresses that follow from them;
//   - decode.go: Settings from the text of a file;
//   - paths.go: the lines of a file, and typed access to their values;
//   - watch.go: Load, and the Watcher of a file that may change;
//   - errors.go: what can be wrong.
//
// Settings are immutable. A Watcher is used by one goroutine; any may ask for its Current settings. Of the
// project the package imports logging alone. Its tests stand beside it.
package settings
