package ci

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const repoRoot = "../.."

// sourceTree holds the names that the Go files under cmd and internal declare.
type sourceTree struct {
	// declared contains `package.Name` and `package.Type.Member`, where a member is a
	// method or a field and a package has the name of its directory.
	declared map[string]bool
	packages map[string]bool
	// tests contains the names of the test and benchmark functions.
	tests map[string]bool
}

// forEachGoFile parses each Go file under cmd and internal, including tests, and calls
// visit with it.
func forEachGoFile(t *testing.T, visit func(path string, file *ast.File)) {
	t.Helper()
	for _, dir := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(repoRoot, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err == nil {
				visit(path, file)
			}
			return err
		})
		qt.Assert(t, err, qt.IsNil)
	}
}

func parseTree(t *testing.T) sourceTree {
	t.Helper()
	tree := sourceTree{map[string]bool{}, map[string]bool{}, map[string]bool{}}
	forEachGoFile(t, func(path string, file *ast.File) {
		if strings.HasSuffix(path, "_test.go") {
			tree.addTests(file)
			return
		}
		tree.addDeclarations(filepath.Base(filepath.Dir(path)), file)
	})
	return tree
}

func (s sourceTree) addTests(file *ast.File) {
	for _, declaration := range file.Decls {
		f, ok := declaration.(*ast.FuncDecl)
		if ok && f.Recv == nil && (strings.HasPrefix(f.Name.Name, "Test") || strings.HasPrefix(f.Name.Name, "Benchmark")) {
			s.tests[f.Name.Name] = true
		}
	}
}

func (s sourceTree) addDeclarations(pkg string, file *ast.File) {
	s.packages[pkg] = true
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			name := d.Name.Name
			if d.Recv != nil {
				name = receiverTypeName(d.Recv.List[0].Type) + "." + name
			}
			s.declared[pkg+"."+name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				s.addSpec(pkg, spec)
			}
		}
	}
}

func (s sourceTree) addSpec(pkg string, spec ast.Spec) {
	switch x := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range x.Names {
			s.declared[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		s.declared[pkg+"."+x.Name.Name] = true
		var members *ast.FieldList
		switch body := x.Type.(type) {
		case *ast.StructType:
			members = body.Fields
		case *ast.InterfaceType:
			members = body.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				s.declared[pkg+"."+x.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiverTypeName returns the name of a receiver's type without pointer and type parameters.
func receiverTypeName(e ast.Expr) string {
	switch x := e.(type) {
	case *ast.StarExpr:
		return receiverTypeName(x.X)
	case *ast.IndexExpr:
		return receiverTypeName(x.X)
	case *ast.IndexListExpr:
		return receiverTypeName(x.X)
	case *ast.Ident:
		return x.Name
	}
	return ""
}

// readPages returns the text of README.md, CONTRIBUTING.md and each page under docs,
// keyed by its path relative to the root of the repository.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	out := map[string]string{}
	read := func(path string) {
		b, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		name, err := filepath.Rel(repoRoot, path)
		qt.Assert(t, err, qt.IsNil)
		out[name] = string(b)
	}
	read(filepath.Join(repoRoot, "README.md"))
	read(filepath.Join(repoRoot, "CONTRIBUTING.md"))
	err := filepath.WalkDir(filepath.Join(repoRoot, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".md" {
			read(path)
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return out
}

var (
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	qualifiedName = regexp.MustCompile(`^([a-z][a-z0-9]*)\.[A-Za-z]\w*(\.[A-Za-z]\w*)?$`)
	fileExtension = regexp.MustCompile(`\.(go|md|toml|json|proto|sh|yml|txt|bin)$`)
	testName      = regexp.MustCompile(`\b(Test|Benchmark)[A-Z0-9]\w*`)
	pathName      = regexp.MustCompile(`(^|[^\w/.])((internal|cmd|deploy|examples|docs|days)/[\w./-]*\w)`)
	// formerName matches a name that a record of an earlier state gives as a former one.
	formerName = regexp.MustCompile("then called `[^`]+`")
)

// strictPages are the pages on which each `package.Name` must be declared in this
// repository; on other pages only names whose first part is one of its packages are checked.
var strictPages = []string{"docs/architecture.md", "docs/glossary.md"}

// Guards against pages that still use the old name of a renamed or removed declaration.
func TestPagesNameOnlyWhatTheCodeDeclares(t *testing.T) {
	tree := parseTree(t)
	for page, text := range readPages(t) {
		strict := slices.Contains(strictPages, page)
		count := 0
		for _, m := range codeSpan.FindAllStringSubmatch(text, -1) {
			name := strings.TrimSuffix(m[1], "()")
			parts := qualifiedName.FindStringSubmatch(name)
			if parts == nil || fileExtension.MatchString(name) || !strict && !tree.packages[parts[1]] {
				continue
			}
			count++
			qt.Check(t, tree.declared[name], qt.IsTrue, qt.Commentf("%s names %s, which does not exist", page, name))
		}
		if strict {
			qt.Check(t, count > 30, qt.IsTrue, qt.Commentf("%s names only %d declarations, want more than 30", page, count))
		}
	}
}

// Guards against pages that refer to a renamed or removed test.
func TestPagesNameOnlyTestsThatExist(t *testing.T) {
	tree := parseTree(t)
	count := 0
	for page, text := range readPages(t) {
		for _, name := range testName.FindAllString(formerName.ReplaceAllString(text, ""), -1) {
			count++
			qt.Check(t, tree.tests[name], qt.IsTrue, qt.Commentf("%s names %s, which does not exist", page, name))
		}
	}
	qt.Check(t, count > 100, qt.IsTrue, qt.Commentf("the pages name only %d tests, want more than 100", count))
}

// Guards against pages that refer to a moved or removed file.
func TestPagesNameOnlyFilesThatExist(t *testing.T) {
	count := 0
	for page, text := range readPages(t) {
		for _, m := range pathName.FindAllStringSubmatch(formerName.ReplaceAllString(text, ""), -1) {
			count++
			_, err := os.Stat(filepath.Join(repoRoot, m[2]))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s names %s, which does not exist", page, m[2]))
		}
	}
	qt.Check(t, count > 50, qt.IsTrue, qt.Commentf("the pages name only %d paths, want more than 50", count))
}

// packageDirs returns the directories that hold packages, as paths relative to internal.
func packageDirs(t *testing.T) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	forEachGoFile(t, func(path string, _ *ast.File) {
		dir, err := filepath.Rel(filepath.Join(repoRoot, "internal"), filepath.Dir(path))
		qt.Assert(t, err, qt.IsNil)
		if !strings.HasPrefix(dir, "..") {
			out[dir] = true
		}
	})
	return out
}

// Guards against a package table that lacks a new package or still lists a removed one.
func TestDesignPageListsEachPackageOnce(t *testing.T) {
	_, table, found := strings.Cut(readPages(t)["docs/design.md"], "\n## The packages\n")
	qt.Assert(t, found, qt.IsTrue)
	table, _, _ = strings.Cut(table, "\n## ")
	dirs := packageDirs(t)
	listed := map[string]bool{}
	for line := range strings.Lines(table) {
		cell, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " |")
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		for _, m := range codeSpan.FindAllStringSubmatch(cell, -1) {
			qt.Check(t, dirs[m[1]], qt.IsTrue, qt.Commentf("the table lists %s, which is not a package", m[1]))
			qt.Check(t, listed[m[1]], qt.IsFalse, qt.Commentf("the table lists %s twice", m[1]))
			listed[m[1]] = true
		}
	}
	for dir := range dirs {
		qt.Check(t, listed[dir], qt.IsTrue, qt.Commentf("the table does not list %s", dir))
	}
}
