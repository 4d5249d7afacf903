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

// debianPackageName matches the package names that Debian policy allows.
var debianPackageName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// deployPackages returns the packages of deploy/system.toml, read with a full TOML parser.
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

// runPackagesScript runs .ci/packages with that text as deploy/system.toml. A fake dpkg-query
// reports only the packages in installed as installed, and a fake apt-get prints its command
// line. It returns the combined output.
func runPackagesScript(t *testing.T, deploy, verb string, installed ...string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	binDir := filepath.Join(dir, "bin")
	qt.Assert(t, os.MkdirAll(filepath.Join(dir, "deploy"), 0o700), qt.IsNil)
	qt.Assert(t, os.MkdirAll(binDir, 0o700), qt.IsNil)
	query := "#!/bin/sh\ncase \" " + strings.Join(installed, " ") + " \" in *\" $3 \"*) printf installed ;; *) exit 1 ;; esac\n"
	for path, text := range map[string]string{
		"deploy/system.toml": deploy,
		"bin/dpkg-query":     query,
		"bin/apt-get":        "#!/bin/sh\necho apt-get $*\n",
	} {
		qt.Assert(t, os.WriteFile(filepath.Join(dir, path), []byte(text), 0o700), qt.IsNil)
	}
	script, err := filepath.Abs("../../.ci/packages")
	qt.Assert(t, err, qt.IsNil)
	command := exec.Command(script, verb)
	command.Dir = dir
	command.Env = append(os.Environ(), "PATH="+binDir+":"+os.Getenv("PATH"))
	output, err := command.CombinedOutput()
	return string(output), err
}

// Guards against a package list that is empty, has duplicates or names that apt-get rejects.
func TestDeployListsWellFormedPackages(t *testing.T) {
	names := deployPackages(t)
	qt.Assert(t, len(names) > 0, qt.IsTrue)
	seen := map[string]bool{}
	for _, name := range names {
		qt.Check(t, debianPackageName.MatchString(name), qt.IsTrue, qt.Commentf("%q", name))
		qt.Check(t, seen[name], qt.IsFalse, qt.Commentf("%q is listed twice", name))
		seen[name] = true
	}
}

// Guards against a deploy file that the awk program of .ci/packages reads differently from
// a TOML parser.
func TestPackagesScriptReadsTheDeployFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/system.toml")
	qt.Assert(t, err, qt.IsNil)
	output, err := runPackagesScript(t, string(text), "list")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, strings.Fields(output), qt.DeepEquals, deployPackages(t))
}

// Guards against comments, line breaks or later tables that change what .ci/packages reads,
// and against success without a list.
func TestPackagesScriptReadsEachFormOfTheList(t *testing.T) {
	for deploy, want := range map[string]string{
		"packages = [\"gcc\", \"g++\"]\nother = [\"no\"]\n":               "gcc\ng++\n",
		"build = \"x\"\npackages=[ # \"no\"\n\t\"gcc\", # ]\n\t\"make\"]": "gcc\nmake\n",
	} {
		output, err := runPackagesScript(t, deploy, "list")
		qt.Check(t, err, qt.IsNil, qt.Commentf("%q: %s", deploy, output))
		qt.Check(t, output, qt.Equals, want, qt.Commentf("%q", deploy))
	}
	for _, deploy := range []string{"", "packages = []\n", "[roles.x]\npackages = [\"gcc\"]\n"} {
		for _, verb := range []string{"list", "install"} {
			output, err := runPackagesScript(t, deploy, verb)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s of %q: %s", verb, deploy, output))
		}
	}
}

// Guards against installing packages that are present, and against calling apt-get when
// none is missing.
func TestPackagesScriptInstallsWhatIsMissing(t *testing.T) {
	const deploy = "packages = [\"gcc\", \"libc6-dev\", \"make\"]\n"
	output, err := runPackagesScript(t, deploy, "install", "gcc")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, output, qt.Equals,
		"apt-get update -q\napt-get install -y -q --no-install-recommends libc6-dev make\n")
	output, err = runPackagesScript(t, deploy, "install", "gcc", "libc6-dev", "make")
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	qt.Assert(t, output, qt.Equals, "")
}

// Guards against packages that CI installs outside the list in deploy/system.toml, and
// against CI that does not run the linter.
func TestCIInstallsPackagesOnlyByTheList(t *testing.T) {
	text, err := os.ReadFile("../../.ci/run")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Contains(string(text), "\n.ci/packages install\n"), qt.IsTrue)
	qt.Check(t, strings.Contains(string(text), "\n.ci/lint\n"), qt.IsTrue)
	qt.Check(t, strings.Contains(string(text), "apt"), qt.IsFalse)
}
