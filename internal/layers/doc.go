// Package layers contains only tests of the project's structure. They check which packages may import which, which
// packages do no I/O, read no clock and start no goroutines, that declared names follow the glossary, and that the
// lists of packages in deploy/ match the builds.
package layers
