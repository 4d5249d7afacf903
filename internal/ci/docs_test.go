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

const root = "../.."

// sourceTree is what the Go files under cmd and internal declare.
type sourceTree struct {
	// declared has `package.Name` and `package.Type.Member`, members being
	// methods and fields; a package goes by the name of its folder.
	declared map[string]bool
	packages map[string]bool
	tests    map[string]bool
}

// eachFile parses the Go files under cmd and internal, tests and others.
func eachFile(t *testing.T, do func(path string, file *ast.File)) {
	t.Helper()
	for _, folder := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err == nil {
				do(path, file)
			}
			return err
		})
		qt.Assert(t, err, qt.IsNil)
	}
}

func parseTree(t *testing.T) sourceTree {
	t.Helper()
	tree := sourceTree{map[string]bool{}, map[string]bool{}, map[string]bool{}}
	eachFile(t, func(path string, file *ast.File) {
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
				name = receiver(d.Recv.List[0].Type) + "." + name
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

// receiver is the name of a method's type, without pointer and type parameters.
func receiver(e ast.Expr) string {
	switch x := e.(type) {
	case *ast.StarExpr:
		return receiver(x.X)
	case *ast.IndexExpr:
		return receiver(x.X)
	case *ast.IndexListExpr:
		return receiver(x.X)
	case *ast.Ident:
		return x.Name
	}
	return ""
}

// pages gives the text of each page by its path from the root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	out := map[string]string{}
	read := func(path string) {
		b, err := os.ReadFile(path)
		qt.Assert(t, err, qt.IsNil)
		name, err := filepath.Rel(root, path)
		qt.Assert(t, err, qt.IsNil)
		out[name] = string(b)
	}
	read(filepath.Join(root, "README.md"))
	read(filepath.Join(root, "CONTRIBUTING.md"))
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && filepath.Ext(path) == ".md" {
			read(path)
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return out
}

var (
	quoted   = regexp.MustCompile("`([^`\n]+)`")
	goName   = regexp.MustCompile(`^([a-z][a-z0-9]*)\.[A-Za-z]\w*(\.[A-Za-z]\w*)?$`)
	fileName = regexp.MustCompile(`\.(go|md|toml|json|proto|sh|yml|txt|bin)$`)
	testName = regexp.MustCompile(`\b(Test|Benchmark)[A-Z0-9]\w*`)
	pathName = regexp.MustCompile(`(^|[^\w/.])((internal|cmd|deploy|examples|docs|days)/[\w./-]*\w)`)
	// oldName marks the names that a test or function had when a record was written.
	oldName = regexp.MustCompile("then called `[^`]+`")
)

// allNamesKnown are the pages on which every `package.Name` is one of this tree;
// elsewhere a name counts only if its first part is a package.
var allNamesKnown = []string{"docs/architecture.md", "docs/glossary.md"}

func TestPagesNameOnlyWhatTheCodeDeclares(t *testing.T) {
	tree := parseTree(t)
	for page, text := range pages(t) {
		strict := slices.Contains(allNamesKnown, page)
		count := 0
		for _, m := range quoted.FindAllStringSubmatch(text, -1) {
			name := strings.TrimSuffix(m[1], "()")
			parts := goName.FindStringSubmatch(name)
			if parts == nil || fileName.MatchString(name) || !strict && !tree.packages[parts[1]] {
				continue
			}
			count++
			qt.Check(t, tree.declared[name], qt.IsTrue, qt.Commentf("%s names %s", page, name))
		}
		if strict {
			qt.Check(t, count > 30, qt.IsTrue, qt.Commentf("%s names only %d", page, count))
		}
	}
}

func TestPagesNameOnlyTestsThatExist(t *testing.T) {
	tree := parseTree(t)
	count := 0
	for page, text := range pages(t) {
		for _, name := range testName.FindAllString(oldName.ReplaceAllString(text, ""), -1) {
			count++
			qt.Check(t, tree.tests[name], qt.IsTrue, qt.Commentf("%s names %s", page, name))
		}
	}
	qt.Check(t, count > 100, qt.IsTrue, qt.Commentf("only %d names found", count))
}

func TestPagesNameOnlyFilesThatExist(t *testing.T) {
	count := 0
	for page, text := range pages(t) {
		for _, m := range pathName.FindAllStringSubmatch(oldName.ReplaceAllString(text, ""), -1) {
			count++
			_, err := os.Stat(filepath.Join(root, m[2]))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s names %s", page, m[2]))
		}
	}
	qt.Check(t, count > 50, qt.IsTrue, qt.Commentf("only %d paths found", count))
}

// packageFolders are the folders under internal that hold packages, by their
// paths below it.
func packageFolders(t *testing.T) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	eachFile(t, func(path string, _ *ast.File) {
		folder, err := filepath.Rel(filepath.Join(root, "internal"), filepath.Dir(path))
		qt.Assert(t, err, qt.IsNil)
		if !strings.HasPrefix(folder, "..") {
			out[folder] = true
		}
	})
	return out
}

func TestDesignPageListsEachPackageOnce(t *testing.T) {
	_, table, found := strings.Cut(pages(t)["docs/design.md"], "\n## The packages\n")
	qt.Assert(t, found, qt.IsTrue)
	table, _, _ = strings.Cut(table, "\n## ")
	folders := packageFolders(t)
	listed := map[string]bool{}
	for line := range strings.Lines(table) {
		cell, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " |")
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		for _, m := range quoted.FindAllStringSubmatch(cell, -1) {
			qt.Check(t, folders[m[1]], qt.IsTrue, qt.Commentf("the table lists %s", m[1]))
			qt.Check(t, listed[m[1]], qt.IsFalse, qt.Commentf("the table lists %s twice", m[1]))
			listed[m[1]] = true
		}
	}
	for folder := range folders {
		qt.Check(t, listed[folder], qt.IsTrue, qt.Commentf("the table lacks %s", folder))
	}
}
