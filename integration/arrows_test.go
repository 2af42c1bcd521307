package integration_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/mod/modfile"
)

const modulePrefix = "bergamotwing.example/"

// moduleGraph maps each module of the workspace to the modules that it requires.
type moduleGraph map[string][]string

// workspace returns the directories that go.work names, relative to this one.
func workspace(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile("../go.work")
	if err != nil {
		t.Fatal(err)
	}
	work, err := modfile.ParseWork("go.work", data, nil)
	if err != nil {
		t.Fatal(err)
	}
	dirs := make([]string, len(work.Use))
	for i, use := range work.Use {
		dirs[i] = filepath.Join("..", use.Path)
	}
	return dirs
}

func readModule(t *testing.T, dir string) (name string, requires []string) {
	t.Helper()
	path := filepath.Join(dir, "go.mod")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	file, err := modfile.Parse(path, data, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range file.Require {
		if to, ok := strings.CutPrefix(r.Mod.Path, modulePrefix); ok {
			requires = append(requires, to)
		}
	}
	return strings.TrimPrefix(file.Module.Mod.Path, modulePrefix), requires
}

func readModuleGraph(t *testing.T) moduleGraph {
	t.Helper()
	all := moduleGraph{}
	for _, dir := range workspace(t) {
		name, requires := readModule(t, dir)
		all[name] = requires
	}
	return all
}

// reaches reports whether module from requires module to, directly or
// transitively.
func (a moduleGraph) reaches(from, to string) bool {
	seen := map[string]bool{from: true}
	for next := []string{from}; len(next) > 0; next = next[1:] {
		for _, m := range a[next[0]] {
			if m == to {
				return true
			}
			if !seen[m] {
				seen[m] = true
				next = append(next, m)
			}
		}
	}
	return false
}

func TestModulesDependInOneDirection(t *testing.T) {
	all := readModuleGraph(t)
	for name := range all {
		if all.reaches(name, name) {
			t.Errorf("%s requires itself through others", name)
		}
	}
}

func TestModulesKeepApart(t *testing.T) {
	all := readModuleGraph(t)
	never := map[string][]string{
		"entry":  {"agent", "command"},
		"agent":  {"entry", "command"},
		"client": {"entry", "agent", "wire"},
		// The product's own processes and the hosted ones share no role, and only
		// the hosted ones depend on the hosting platform.
		"hosted": {"entry", "agent", "ledger", "placement", "command"},
		"wire":   {"platform"},
	}
	for from, modules := range never {
		if _, ok := all[from]; !ok {
			t.Errorf("no module %s", from)
		}
		for _, to := range modules {
			if all.reaches(from, to) {
				t.Errorf("%s requires %s", from, to)
			}
		}
	}
}

func TestPureModulesRequireOnlyResult(t *testing.T) {
	all := readModuleGraph(t)
	for name, allowed := range map[string][]string{"result": nil, "placement": {"result"}, "dispatch": {"result"}, "ledger": {"result"}, "release": {"result", "strictjson"}, "strictjson": nil} {
		requires, ok := all[name]
		if !ok {
			t.Errorf("no module %s", name)
		}
		for _, to := range requires {
			if !slices.Contains(allowed, to) {
				t.Errorf("%s requires %s", name, to)
			}
		}
	}
}

func TestImportsAreRequiredByTheirModule(t *testing.T) {
	names := slices.Collect(maps.Keys(readModuleGraph(t)))
	for _, dir := range workspace(t) {
		name, requires := readModule(t, dir)
		for _, to := range importedModules(t, dir, names) {
			if to != name && !slices.Contains(requires, to) {
				t.Errorf("%s imports %s, but go.mod does not require it", name, to)
			}
		}
	}
}

// moduleOf returns the longest module name that is a prefix of a package path.
func moduleOf(pkg string, names []string) string {
	longest := ""
	for _, name := range names {
		inside := pkg == name || strings.HasPrefix(pkg, name+"/")
		if inside && len(name) > len(longest) {
			longest = name
		}
	}
	return longest
}

// importedModules returns the workspace's modules that the Go files of the
// module at dir import. Files of nested modules are skipped.
func importedModules(t *testing.T, dir string, names []string) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.IsDir() && path != dir {
			if _, nested := os.Stat(filepath.Join(path, "go.mod")); nested == nil {
				return fs.SkipDir
			}
		}
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if to, ok := strings.CutPrefix(imported, modulePrefix); ok {
				out = append(out, moduleOf(to, names))
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
