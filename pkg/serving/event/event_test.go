package event_test

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"almondbay.example/serving/event"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md from the catalogue")

const (
	root = "../../.."
	page = root + "/docs/EVENTS.md"
)

func TestNumbersAreUniqueAndTextsComplete(t *testing.T) {
	seen := make(map[int]bool)
	for _, d := range event.All() {
		if seen[d.Number] {
			t.Errorf("number %d is used twice", d.Number)
		}
		seen[d.Number] = true
		if d.Message == "" || d.Meaning == "" || d.Action == "" {
			t.Errorf("event %d lacks its message, meaning or action", d.Number)
		}
	}
}

func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(event.Markdown()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	written, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(event.Markdown(), string(written)); diff != "" {
		t.Errorf("docs/EVENTS.md differs from the catalogue; run this test with -update:\n%s", diff)
	}
}

func TestLogWritesNumberAndMessage(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	event.NodeListening.Log(zap.New(core), zap.String("listener", "caller"))
	entry := lines.All()[0]
	want := map[string]any{"event": int64(102), "listener": "caller"}
	if diff := cmp.Diff(want, entry.ContextMap()); diff != "" || entry.Message != "listening" {
		t.Errorf("got message %q, want \"listening\"; fields (-want +got):\n%s", entry.Message, diff)
	}
}

// definitions maps the Go names of the variables of the catalogue to their
// definitions.
func definitions(t *testing.T) map[string]event.Definition {
	t.Helper()
	byNumber := make(map[int]event.Definition)
	for _, d := range event.All() {
		byNumber[d.Number] = d
	}
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	named := make(map[string]event.Definition)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.CompositeLit)
		if !ok {
			return true
		}
		for _, element := range literal.Elts {
			pair, ok := element.(*ast.KeyValueExpr)
			if !ok || pair.Key.(*ast.Ident).Name != "Number" {
				continue
			}
			number, err := strconv.Atoi(pair.Value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			named[spec.Names[0].Name] = byNumber[number]
		}
		return true
	})
	return named
}

// Checks all source files of the repository: log calls must go through the
// catalogue and use declared fields only, and every event must be logged
// somewhere.
func TestSourceLogsOnlyDefinedEvents(t *testing.T) {
	named := definitions(t)
	used := make(map[string]bool)
	for _, path := range sources(t) {
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			selector, ok := call.Fun.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if importsZap(file) && len(call.Args) > 0 && logsDirectly(selector) {
				t.Errorf("%s: logs without a definition of the catalogue", files.Position(call.Pos()))
			}
			name, ok := eventName(selector)
			if !ok {
				return true
			}
			used[name] = true
			checkFields(t, files, named[name], call)
			return true
		})
	}
	for name := range named {
		if !used[name] {
			t.Errorf("event %s is never logged", name)
		}
	}
}

// sources returns the paths of the Go files of all modules, without tests and this
// package.
func sources(t *testing.T) []string {
	t.Helper()
	var paths []string
	for _, module := range []string{"cmd", "internal", "pkg", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, _ fs.DirEntry, err error) error {
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.Contains(path, "serving/event/") {
				paths = append(paths, path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

func importsZap(file *ast.File) bool {
	return slices.ContainsFunc(file.Imports, func(i *ast.ImportSpec) bool { return i.Path.Value == `"go.uber.org/zap"` })
}

// logsDirectly reports whether a call in a file that imports zap has the name of a
// method of a logger and is not the Log method of a definition. Functions of
// package zap are excluded, since they create fields.
func logsDirectly(selector *ast.SelectorExpr) bool {
	if receiver, ok := selector.X.(*ast.Ident); ok && receiver.Name == "zap" {
		return false
	}
	return slices.Contains([]string{"Debug", "Info", "Warn", "Error", "Fatal", "Panic", "Log"}, selector.Sel.Name) && !isEvent(selector)
}

func isEvent(selector *ast.SelectorExpr) bool {
	_, ok := eventName(selector)
	return ok
}

// eventName returns X when the selector is event.X.Log.
func eventName(selector *ast.SelectorExpr) (string, bool) {
	inner, ok := selector.X.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != "Log" {
		return "", false
	}
	pkg, ok := inner.X.(*ast.Ident)
	return inner.Sel.Name, ok && pkg.Name == "event"
}

// checkFields reports fields of a log call whose names are not in the definition.
func checkFields(t *testing.T, files *token.FileSet, d event.Definition, call *ast.CallExpr) {
	t.Helper()
	for _, argument := range call.Args[1:] {
		field, ok := argument.(*ast.CallExpr)
		if !ok {
			continue
		}
		name := "error"
		if len(field.Args) > 1 {
			literal, ok := field.Args[0].(*ast.BasicLit)
			if !ok {
				t.Errorf("%s: field name is not a literal", files.Position(field.Pos()))
				continue
			}
			name, _ = strconv.Unquote(literal.Value)
		}
		if !slices.Contains(d.Fields, name) {
			t.Errorf("%s: event %d has no field %q", files.Position(field.Pos()), d.Number, name)
		}
	}
}
