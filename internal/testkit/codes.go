package testkit

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/port"
)

// ErrorCodes returns all error codes declared in the source of package port.
func ErrorCodes(t testing.TB) []port.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(Root(t), "internal/port/verdict.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []port.Code
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue || !strings.HasPrefix(spec.Names[0].Name, "Code") || len(spec.Values) != 1 {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		codes = append(codes, port.Code(text))
		return true
	})
	const minCodes = 10
	if len(codes) < minCodes {
		t.Fatalf("only %d codes found", len(codes))
	}
	return codes
}
