package commandline

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

const (
	commitLength = 12 // digits of a commit that are printed
	unknown      = "unknown"
)

// BuildInfo describes the build of a program.
type BuildInfo struct {
	Program string `json:"program"`
	Version string `json:"version"` // version of the module; "(devel)" or "unknown" if the build had none
	Commit  string `json:"commit"`  // first twelve digits; "unknown" if built outside of a repository
	// Modified reports whether the sources differed from those of the commit.
	Modified  bool   `json:"modified"`
	GoVersion string `json:"go"` // such as go1.26.1
}

// ReadBuildInfo returns the build information of a program, which Go embeds in each binary.
func ReadBuildInfo(program string) BuildInfo {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return BuildInfo{Program: program, Version: unknown, Commit: unknown, GoVersion: unknown}
	}
	return newBuildInfo(program, info)
}

func newBuildInfo(program string, info *debug.BuildInfo) BuildInfo {
	b := BuildInfo{Program: program, Version: info.Main.Version, Commit: unknown, GoVersion: info.GoVersion}
	if b.Version == "" {
		b.Version = unknown
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			b.Commit = setting.Value[:min(commitLength, len(setting.Value))]
		case "vcs.modified":
			b.Modified = setting.Value == "true"
		}
	}
	return b
}

// String returns the build in one line without its version: what the flag --version prints.
func (b BuildInfo) String() string {
	modified := ""
	if b.Modified {
		modified = "+changes"
	}
	return fmt.Sprintf("%s %s%s, %s", b.Program, b.Commit, modified, b.GoVersion)
}

// VersionCommand prints the version of a program.
type VersionCommand struct{ OutputFlag }

// Run prints the line of --version, followed by the version of the module.
func (vc *VersionCommand) Run(out io.Writer, line *kong.Context) error {
	b := ReadBuildInfo(line.Model.Name)
	return vc.Print(out, b, func(out io.Writer) error {
		_, err := fmt.Fprintf(out, "%s, version %s\n", b, b.Version)
		return err
	})
}
