// Package settings reads the settings of a process: its place in the system, its limits, and the bounds of the rules in
// force. They come from a file with lines of the form a.b=value, which may change while the process runs.
//
//   - settings.go: Settings, and the addresses derived from them;
//   - decode.go: decoding the text of a file into Settings;
//   - paths.go: the lines of a file, and typed access to their values;
//   - watch.go: Load, and the Watcher of a file that may change;
//   - errors.go: the errors of a settings file.
//
// Settings are immutable. One goroutine uses a Watcher, but any goroutine may call its Current and Level. Within the
// project the package imports only logging.
package settings
