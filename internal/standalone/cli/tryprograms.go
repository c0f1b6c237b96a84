package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// rolePrograms are the programs of the complete gateway. Their executables and their folders in cmd have these names.
var rolePrograms = []string{"proxy", "agent", "control"}

// buildGrace is how long an interrupted build may take to end before it is killed.
const buildGrace = 5 * time.Second

// moduleLine is the line of go.mod that names this module.
var moduleLine = regexp.MustCompile(`(?m)^module mulleinrouter$`)

// noProgramsError is returned if the programs of the complete gateway are not found and cannot be built.
type noProgramsError struct {
	programDir string // folder of this executable
	reason     error  // why the programs cannot be built
}

func (ne *noProgramsError) Error() string {
	return fmt.Sprintf("%s are not all in %s, the folder of this program, and cannot be built here: %v. "+
		"Run it in a checkout of mulleinrouter, or name their folder with --bin",
		strings.Join(rolePrograms, ", "), ne.programDir, ne.reason)
}

func (ne *noProgramsError) Unwrap() error { return ne.reason }

var (
	errNoModule    = errors.New("the working directory is not in a checkout of mulleinrouter")
	errNoGoCommand = errors.New("there is no go command")
)

// programs is a folder that contains the programs of the complete gateway.
type programs struct {
	dir   string
	built bool // built for this run only; remove deletes the folder
}

// remove removes the folder if it was built for this run.
func (pr programs) remove() {
	if pr.built {
		os.RemoveAll(pr.dir)
	}
}

// findPrograms returns the folder with the programs. It is the requested one, or the folder of this executable if it
// contains them, or else a temporary folder in which the programs are built.
func findPrograms(ctx context.Context, requestedDir string, progress io.Writer) (programs, error) {
	if requestedDir != "" {
		if missing := missingProgram(requestedDir); missing != nil {
			return programs{}, fileError{missing}
		}
		return programs{dir: requestedDir}, nil
	}
	self, err := os.Executable()
	if err != nil {
		return programs{}, err
	}
	programDir := filepath.Dir(self)
	if missingProgram(programDir) == nil {
		return programs{dir: programDir}, nil
	}
	root, err := moduleRoot()
	if err != nil {
		return programs{}, &noProgramsError{programDir: programDir, reason: err}
	}
	goCommand, err := exec.LookPath("go")
	if err != nil {
		return programs{}, &noProgramsError{programDir: programDir, reason: errNoGoCommand}
	}
	return buildPrograms(ctx, goCommand, root, progress)
}

// missingProgram returns an error for a folder that lacks one of the programs.
func missingProgram(dir string) error {
	for _, name := range rolePrograms {
		if _, err := exec.LookPath(filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// moduleRoot returns the root of the checkout that contains the working directory.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		text, err := os.ReadFile(filepath.Join(dir, "go.mod"))
		if err == nil && moduleLine.Match(text) {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if err == nil || parent == dir {
			return "", errNoModule
		}
		dir = parent
	}
}

// buildPrograms builds the programs in a temporary folder.
func buildPrograms(ctx context.Context, goCommand, root string, progress io.Writer) (programs, error) {
	dir, err := os.MkdirTemp("", "mulleinrouter-bin-")
	if err != nil {
		return programs{}, err
	}
	built := programs{dir: dir, built: true}
	arguments := []string{"build", "-o", dir + string(filepath.Separator)}
	for _, name := range rolePrograms {
		arguments = append(arguments, "./cmd/"+name)
	}
	fmt.Fprintf(progress, "building %s\n", strings.Join(rolePrograms, ", "))
	command := exec.CommandContext(ctx, goCommand, arguments...)
	command.Dir = root
	command.Stderr = progress
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGINT) }
	command.WaitDelay = buildGrace
	if err := command.Run(); err != nil {
		built.remove()
		return programs{}, fmt.Errorf("go build: %w", err)
	}
	return built, nil
}
