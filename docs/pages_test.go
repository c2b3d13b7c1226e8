// Package docs_test checks the pages against the repository: links resolve, the tests
// that pages name exist, and the contract names every path and method of the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// pages returns the paths of the repository's Markdown pages, relative to its root.
func pages(t *testing.T) []string {
	t.Helper()
	root := testkit.Root(t)
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && path != root && (strings.HasPrefix(name, ".") || name == "run" || name == "bin") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(name, ".md") {
			relative, err := filepath.Rel(root, path)
			found = append(found, relative)
			return err
		}
		return nil
	})
	if err != nil || len(found) < 10 {
		t.Fatalf("%d pages, %v", len(found), err)
	}
	return found
}

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ (.+)$`)
	nonAnchorChars = regexp.MustCompile(`[^a-z0-9 _-]`)
)

// anchors returns the anchors of a page's headings.
func anchors(page string) []string {
	var found []string
	for _, match := range headingPattern.FindAllStringSubmatch(page, -1) {
		plain := nonAnchorChars.ReplaceAllString(strings.ToLower(match[1]), "")
		found = append(found, strings.ReplaceAll(plain, " ", "-"))
	}
	return found
}

func TestLinksResolve(t *testing.T) {
	root := testkit.Root(t)
	for _, page := range pages(t) {
		for _, match := range linkPattern.FindAllStringSubmatch(testkit.Page(t, page), -1) {
			link := match[1]
			if strings.Contains(link, "://") || strings.HasPrefix(link, "mailto:") {
				continue
			}
			path, anchor, hasAnchor := strings.Cut(link, "#")
			target := page
			if path != "" {
				target = filepath.Join(filepath.Dir(page), path)
			}
			if _, err := os.Stat(filepath.Join(root, target)); err != nil {
				t.Errorf("%s: link %s: file not found", page, link)
				continue
			}
			if hasAnchor && !slices.Contains(anchors(testkit.Page(t, target)), anchor) {
				t.Errorf("%s: link %s: no such heading", page, link)
			}
		}
	}
}

// functionNames returns the names of the functions that a folder's test files declare.
func functionNames(t *testing.T, folder string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(testkit.Root(t), folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			if function, isFunction := declaration.(*ast.FuncDecl); isFunction && function.Recv == nil {
				found = append(found, function.Name.Name)
			}
		}
	}
	return found
}

var proofPattern = regexp.MustCompile("`([a-z][a-z0-9/_]*)\\.((?:Test|Fuzz)[A-Za-z0-9_]+)`")

// notProved marks a row of PROOF.md that no test proves yet.
const notProved = "not proved yet"

// TestProofNamesTestsThatExist checks that each row of PROOF.md names an existing test
// or is marked as not proved.
func TestProofNamesTestsThatExist(t *testing.T) {
	page := testkit.Page(t, "docs/PROOF.md")
	declared := map[string][]string{}
	rows := testkit.TableRows(page)
	if len(rows) < 30 {
		t.Fatalf("PROOF.md has %d rows", len(rows))
	}
	for _, row := range rows {
		proofs := proofPattern.FindAllStringSubmatch(row[len(row)-1], -1)
		if len(proofs) == 0 && !strings.Contains(row[len(row)-1], notProved) {
			t.Errorf("%q names no test and doesn't say %q", row[0], notProved)
		}
	}
	for _, proof := range proofPattern.FindAllStringSubmatch(page, -1) {
		folder, name := proof[1], proof[2]
		if _, read := declared[folder]; !read {
			declared[folder] = functionNames(t, folder)
		}
		if !slices.Contains(declared[folder], name) {
			t.Errorf("PROOF.md names %s.%s, which does not exist", folder, name)
		}
	}
}

// TestProtocolsNamesTestsThatExist checks paragraphs of the form
// "Tests: NAME and NAME in FOLDER".
func TestProtocolsNamesTestsThatExist(t *testing.T) {
	checked := 0
	for paragraph := range strings.SplitSeq(testkit.Page(t, "docs/PROTOCOLS.md"), "\n\n") {
		if !strings.HasPrefix(paragraph, "Test: ") && !strings.HasPrefix(paragraph, "Tests: ") {
			continue
		}
		var names []string
		for _, quoted := range testkit.CodeSpans(paragraph) {
			if strings.HasPrefix(quoted, "Test") {
				names = append(names, quoted)
				continue
			}
			declared := functionNames(t, quoted)
			for _, name := range names {
				checked++
				if !slices.Contains(declared, name) {
					t.Errorf("PROTOCOLS.md names %s in %s, which does not exist", name, quoted)
				}
			}
			names = nil
		}
		if len(names) > 0 {
			t.Errorf("PROTOCOLS.md names %v without a folder", names)
		}
	}
	if checked < 20 {
		t.Errorf("only %d tests found in PROTOCOLS.md", checked)
	}
}

// constantsWithPrefix returns the values of a file's string constants whose names begin
// with a prefix.
func constantsWithPrefix(t *testing.T, path, prefix string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(testkit.Root(t), path), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue || !strings.HasPrefix(spec.Names[0].Name, prefix) || len(spec.Values) != 1 {
			return true
		}
		if literal, isLiteral := spec.Values[0].(*ast.BasicLit); isLiteral && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, text)
		}
		return true
	})
	if len(found) == 0 {
		t.Fatalf("%s has no constants %s...", path, prefix)
	}
	return found
}

// TestProtocolsNamesEveryPathAndMethod checks that PROTOCOLS.md names the constants that
// adapters and processes share.
func TestProtocolsNamesEveryPathAndMethod(t *testing.T) {
	page := testkit.Page(t, "docs/PROTOCOLS.md")
	sources := []struct{ path, prefix string }{
		{"internal/port/api/callers.go", "Path"},
		{"internal/port/api/callers.go", "Header"},
		{"internal/port/api/engine.go", "Path"},
		{"internal/port/api/trainer.go", "Path"},
		{"internal/port/api/trainer.go", "Query"},
		{"internal/adapter/operatorapi/types.go", "Path"},
		{"internal/adapter/controlclient/protocol.go", "Method"},
		{"internal/app/control/protocol.go", "method"},
		{"internal/app/node/messages.go", "method"},
	}
	for _, source := range sources {
		for _, text := range constantsWithPrefix(t, source.path, source.prefix) {
			if !strings.Contains(page, text) {
				t.Errorf("PROTOCOLS.md does not name %q of %s", text, source.path)
			}
		}
	}
}

// TestReadmeListsThePages checks that README.md names every file and folder of docs.
func TestReadmeListsThePages(t *testing.T) {
	readme := testkit.Page(t, "README.md")
	root := testkit.Root(t)
	entries, err := os.ReadDir(filepath.Join(root, "docs"))
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".go") {
			continue
		}
		if !strings.Contains(readme, "docs/"+entry.Name()) {
			t.Errorf("README.md does not name docs/%s", entry.Name())
		}
	}
}
