package layers

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// goListPackage has the fields of a package in the output of `go list -json` that show whether its build needs more
// than Go, such as a C toolchain or a system library.
type goListPackage struct {
	ImportPath   string
	CgoFiles     []string
	CFiles       []string
	CXXFiles     []string
	FFiles       []string
	SwigFiles    []string
	CgoPkgConfig []string
	CgoLDFLAGS   []string
}

// libcLibraries lists the linker flags for libraries of the C library itself. The package libc6-dev contains all of
// them, so they need no package of their own.
var libcLibraries = []string{"-lc", "-lm", "-lpthread", "-ldl", "-lrt", "-lresolv", "-pthread"}

// systemPackages returns the system packages that a build of the given Go packages needs, each with the Go package or
// the flag that is the reason.
func systemPackages(packages []goListPackage, externalLinking bool) map[string]string {
	needed := map[string]string{}
	if externalLinking {
		needed["gcc"], needed["libc6-dev"] = "-linkmode=external", "-linkmode=external"
	}
	for _, p := range packages {
		if len(p.CgoFiles)+len(p.CFiles) > 0 {
			needed["gcc"], needed["libc6-dev"] = p.ImportPath, p.ImportPath
		}
		if len(p.CXXFiles) > 0 {
			needed["g++"] = p.ImportPath
		}
		if len(p.FFiles) > 0 {
			needed["gfortran"] = p.ImportPath
		}
		if len(p.SwigFiles) > 0 {
			needed["swig"] = p.ImportPath
		}
		if len(p.CgoPkgConfig) > 0 {
			needed["pkg-config"] = p.ImportPath
			for _, library := range p.CgoPkgConfig {
				needed["the package of "+library] = p.ImportPath
			}
		}
		for _, flag := range p.CgoLDFLAGS {
			if strings.HasPrefix(flag, "-l") && !slices.Contains(libcLibraries, flag) {
				needed["the package of "+flag] = p.ImportPath
			}
		}
	}
	return needed
}

// TestBuildPackages compares the system packages that deploy/system.toml lists with those that its build needs beyond
// Go. The two must be equal.
func TestBuildPackages(t *testing.T) {
	is := is.New(t)
	deploy, err := os.ReadFile("../../deploy/system.toml")
	is.NoErr(err)
	build := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindStringSubmatch(string(deploy))
	list := regexp.MustCompile(`(?m)^packages = \[(.*)\]$`).FindStringSubmatch(string(deploy))
	is.True(build != nil && list != nil)
	commands := regexp.MustCompile(`\./cmd/\w+`).FindAllString(build[1], -1)
	is.Equal(len(commands), 3)
	command := exec.Command("go",
		append([]string{"list", "-deps",
			"-json=ImportPath,CgoFiles,CFiles,CXXFiles,FFiles,SwigFiles,CgoPkgConfig,CgoLDFLAGS"}, commands...)...)
	command.Dir, command.Env = "../..", append(os.Environ(), "CGO_ENABLED=1")
	out, err := command.Output()
	is.NoErr(err)
	var packages []goListPackage
	for decoder := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p goListPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		packages = append(packages, p)
	}
	needed := systemPackages(packages, strings.Contains(build[1], "-linkmode=external"))
	for name, reason := range needed {
		if !strings.Contains(list[1], `"`+name+`"`) {
			t.Errorf("%s is needed (%s), but deploy/system.toml does not list it", name, reason)
		}
	}
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(list[1], -1) {
		if needed[name[1]] == "" {
			t.Errorf("deploy/system.toml lists %s, which nothing needs", name[1])
		}
	}
	// systemPackages must also find the needs of a new dependency, even while no package of the build has such needs.
	found := systemPackages([]goListPackage{{ImportPath: "x", CXXFiles: []string{"a.cc"},
		CgoLDFLAGS: []string{"-lz", "-lm"}, CgoPkgConfig: []string{"libuv"}}}, false)
	is.Equal(len(found), 4) // g++, pkg-config, and the packages of libuv and libz
}

// TestNodePackages compares the folders that deploy/balancer.toml lists under node and policy with the packages in the
// build of the ingress. For a file in these lists, its folder counts.
func TestNodePackages(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var folders []string
	lists := regexp.MustCompile(`(?m)^(node|policy) = \[(.*)\]$`)
	for _, list := range lists.FindAllStringSubmatch(string(deploy), -1) {
		for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(list[2], -1) {
			folder := name[1]
			if strings.HasSuffix(folder, ".go") {
				folder = path.Dir(folder)
			}
			folders = append(folders, folder)
		}
	}
	command := exec.Command("go", "list", "-deps", "./cmd/mulleinrouter")
	command.Dir = "../.."
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	needed := map[string]bool{} // the folders with a package of the build
	for line := range strings.Lines(string(out)) {
		name, inModule := strings.CutPrefix(strings.TrimSpace(line), "mulleinrouter/")
		if !inModule {
			continue
		}
		listed := false
		for _, folder := range folders {
			if name == folder || strings.HasPrefix(name, folder+"/") {
				needed[folder], listed = true, true
			}
		}
		if !listed {
			t.Errorf("the ingress's build needs %s, which deploy/balancer.toml does not list", name)
		}
	}
	for _, folder := range folders {
		if !needed[folder] {
			t.Errorf("deploy/balancer.toml lists %s, which the ingress's build does not need", folder)
		}
	}
}
