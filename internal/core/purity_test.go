// Package core_test checks that the decision core stays free of I/O and clocks.
package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/sapphirehaven/sapphirehaven/"

// impureImports are packages that give access to I/O, a logger or a clock.
var impureImports = []string{"net", "os", "log", "io/ioutil", "syscall", "github.com/sirupsen/logrus", "storj.io/drpc", module + "internal/adapter", module + "internal/app", module + "internal/port"}

// pureImports are exceptions: net/netip only parses addresses.
var pureImports = map[string]bool{"net/netip": true}

// impureTimeFuncs read or wait for the machine's clock.
var impureTimeFuncs = map[string]bool{"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true}

// TestCoreIsPure guards against a decision that depends on the machine's clock,
// on I/O or on a goroutine, which a replay could not repeat.
func TestCoreIsPure(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		for _, violation := range violations(t, path, nil) {
			t.Error(violation)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no core files found")
	}
}

// TestPurityCheckFindsViolations guards against a purity check that accepts
// everything.
func TestPurityCheckFindsViolations(t *testing.T) {
	const source = `package p
import ("net/http"; "net/netip"; "time"; clock "time"; "github.com/sirupsen/logrus")
var a = http.Get
var n = netip.Addr{}
var b = time.Now()
var c = clock.Now()
var d = logrus.Info
func f() { go f() }
`
	if got := violations(t, "p.go", source); len(got) != 5 {
		t.Fatalf("got %d violations, want 5: %q", len(got), got)
	}
}

func violations(t *testing.T, path string, source any) []string {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	timeNames := map[string]bool{}
	for _, spec := range file.Imports {
		name, _ := strconv.Unquote(spec.Path.Value)
		for _, impure := range impureImports {
			if (name == impure || strings.HasPrefix(name, impure+"/")) && !pureImports[name] {
				found = append(found, path+": imports "+name)
			}
		}
		if name == "time" {
			timeNames["time"] = true
			if spec.Name != nil {
				timeNames[spec.Name.Name] = true
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			found = append(found, set.Position(n.Pos()).String()+": starts a goroutine")
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && timeNames[x.Name] && impureTimeFuncs[n.Sel.Name] {
				found = append(found, set.Position(n.Pos()).String()+": calls time."+n.Sel.Name)
			}
		}
		return true
	})
	return found
}
