package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"
)

// debianName is the form that Debian's policy gives package names.
var debianName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// deployPackages reads the list of packages with a full TOML parser.
func deployPackages(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/system.toml")
	qt.Assert(t, err, qt.IsNil)
	var deploy struct {
		Packages []string `toml:"packages"`
	}
	qt.Assert(t, toml.Unmarshal(text, &deploy), qt.IsNil)
	return deploy.Packages
}

// runPackages runs .ci/packages on a deploy file with that text, on a machine
// where just the named packages are installed. It returns the script's output,
// in which each call of apt-get is a line.
func runPackages(t *testing.T, deploy, verb string, installed ...string) (string, error) {
	t.Helper()
	folder := t.TempDir()
	commands := filepath.Join(folder, "bin")
	qt.Assert(t, os.MkdirAll(filepath.Join(folder, "deploy"), 0o700), qt.IsNil)
	qt.Assert(t, os.MkdirAll(commands, 0o700), qt.IsNil)
	query := "#!/bin/sh\ncase \" " + strings.Join(installed, " ") + " \" in *\" $3 \"*) printf installed ;; *) exit 1 ;; esac\n"
	for path, text := range map[string]string{
		"deploy/system.toml": deploy,
		"bin/dpkg-query":     query,
		"bin/apt-get":        "#!/bin/sh\necho apt-get $*\n",
	} {
		qt.Assert(t, os.WriteFile(filepath.Join(folder, path), []byte(text), 0o700), qt.IsNil)
	}
	script, err := filepath.Abs("../../.ci/packages")
	qt.Assert(t, err, qt.IsNil)
	command := exec.Command(script, verb)
	command.Dir = folder
	command.Env = append(os.Environ(), "PATH="+commands+":"+os.Getenv("PATH"))
	output, err := command.CombinedOutput()
	return string(output), err
}

func TestDeployListsWellFormedPackages(t *testing.T) {
	names := deployPackages(t)
	qt.Assert(t, len(names) > 0, qt.IsTrue)
	seen := map[string]bool{}
	for _, name := range names {
		qt.Check(t, debianName.MatchString(name), qt.IsTrue, qt.Commentf("%q", name))
		qt.Check(t, seen[name], qt.IsFalse, qt.Commentf("%q stands twice", name))
		seen[name] = true
	}
}

func TestPackagesScriptReadsTheDeployFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/system.toml")
	qt.Assert(t, err, qt.IsNil)
	output, err := runPackages(t, string(text), "list")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, strings.Fields(output), qt.DeepEquals, deployPackages(t))
}

func TestPackagesScriptReadsEachFormOfTheList(t *testing.T) {
	for deploy, want := range map[string]string{
		"packages = [\"gcc\", \"g++\"]\nother = [\"no\"]\n":               "gcc\ng++\n",
		"build = \"x\"\npackages=[ # \"no\"\n\t\"gcc\", # ]\n\t\"make\"]": "gcc\nmake\n",
	} {
		output, err := runPackages(t, deploy, "list")
		qt.Check(t, err, qt.IsNil, qt.Commentf("%q: %s", deploy, output))
		qt.Check(t, output, qt.Equals, want, qt.Commentf("%q", deploy))
	}
	for _, deploy := range []string{"", "packages = []\n", "[roles.x]\npackages = [\"gcc\"]\n"} {
		for _, verb := range []string{"list", "install"} {
			output, err := runPackages(t, deploy, verb)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s of %q: %s", verb, deploy, output))
		}
	}
}

func TestPackagesScriptInstallsWhatIsMissing(t *testing.T) {
	const deploy = "packages = [\"gcc\", \"libc6-dev\", \"make\"]\n"
	output, err := runPackages(t, deploy, "install", "gcc")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, output, qt.Equals,
		"apt-get update -q\napt-get install -y -q --no-install-recommends libc6-dev make\n")
	output, err = runPackages(t, deploy, "install", "gcc", "libc6-dev", "make")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, output, qt.Equals, "")
}

func TestCIInstallsPackagesOnlyByTheList(t *testing.T) {
	text, err := os.ReadFile("../../.ci/run")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Contains(string(text), "\n.ci/packages install\n"), qt.IsTrue)
	qt.Check(t, strings.Contains(string(text), "\n.ci/lint\n"), qt.IsTrue)
	qt.Check(t, strings.Contains(string(text), "apt"), qt.IsFalse)
}
