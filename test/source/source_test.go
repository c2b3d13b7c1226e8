package source_test

import (
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

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// sourceFile is one parsed file, by its path from the root.
type sourceFile struct {
	path    string
	syntax  *ast.File
	imports map[string]string // path by the name that the file uses
}

// sources parses the Go files below a folder, without tests.
func sources(t *testing.T, below string) []sourceFile {
	t.Helper()
	root := testkit.Root(t)
	var found []sourceFile
	err := filepath.WalkDir(filepath.Join(root, below), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		syntax, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		found = append(found, sourceFile{relative, syntax, importsOf(syntax)})
		return err
	})
	if err != nil || len(found) < leastFiles(below) {
		t.Fatalf("%d files below %s, %v", len(found), below, err)
	}
	return found
}

// leastFiles guards against a walk that found nothing.
func leastFiles(below string) int {
	if below == "platform" {
		return 5 // a small folder
	}
	return 10
}

func importsOf(syntax *ast.File) map[string]string {
	imports := map[string]string{}
	for _, spec := range syntax.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		name := path[strings.LastIndex(path, "/")+1:]
		if name == "v2" {
			name = filepath.Base(strings.TrimSuffix(path, "/v2"))
		}
		if spec.Name != nil {
			name = spec.Name.Name
		}
		imports[name] = path
	}
	return imports
}

// impureImports reach outside the process or hold hidden state.
var impureImports = []string{
	"os", "os/exec", "os/signal", "net", "net/http", "io/fs", "syscall", "crypto/rand", "math/rand", "log",
	"github.com/phuslu/log", "golang.org/x/sync/errgroup",
}

// impureCalls read a clock or the global random source.
var impureCalls = map[string][]string{
	"time":         {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
	"math/rand/v2": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Uint64N", "N", "Float64", "Perm", "Shuffle", "ExpFloat64", "NormFloat64"},
}

// TestCoreIsPure: the decisions of internal/core take time, ids and seeds as
// arguments, so that the same code runs in processes and in virtual time.
func TestCoreIsPure(t *testing.T) {
	for _, file := range sources(t, "internal/core") {
		for _, path := range file.imports {
			if slices.Contains(impureImports, path) || strings.Contains(path, "/internal/adapter") || strings.Contains(path, "/internal/app") || strings.Contains(path, "/internal/lab") {
				t.Errorf("%s imports %s", file.path, path)
			}
		}
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", file.path)
			case *ast.SelectorExpr:
				if name, isName := node.X.(*ast.Ident); isName && slices.Contains(impureCalls[file.imports[name.Name]], node.Sel.Name) {
					t.Errorf("%s uses %s.%s", file.path, name.Name, node.Sel.Name)
				}
			}
			return true
		})
	}
}

// TestPortsKnowNoAdapter: dependencies point inwards.
func TestPortsKnowNoAdapter(t *testing.T) {
	for _, file := range sources(t, "internal/port") {
		for _, path := range file.imports {
			if strings.Contains(path, "loomgrade/internal/") && !strings.HasSuffix(path, "loomgrade/internal/port") {
				t.Errorf("%s imports %s", file.path, path)
			}
		}
	}
	for _, file := range append(sources(t, "internal/adapter"), sources(t, "internal/app")...) {
		isTestSupport := strings.HasPrefix(file.path, "internal/adapter/contracttest/")
		for _, path := range file.imports {
			if strings.Contains(path, "loomgrade/internal/lab") && !isTestSupport {
				t.Errorf("%s imports %s: the product must not need the lab", file.path, path)
			}
		}
	}
}

// TestNoProcessStartsAnother looks at everything that ends up in the programs.
func TestNoProcessStartsAnother(t *testing.T) {
	for _, below := range []string{"cmd", "internal"} {
		for _, file := range sources(t, below) {
			for name, path := range file.imports {
				if path == "os/exec" || path == "plugin" {
					t.Errorf("%s imports %s", file.path, path)
				}
				if path != "syscall" && path != "os" {
					continue
				}
				ast.Inspect(file.syntax, func(node ast.Node) bool {
					selector, isSelector := node.(*ast.SelectorExpr)
					if !isSelector {
						return true
					}
					within, isName := selector.X.(*ast.Ident)
					forbidden := []string{"StartProcess", "ForkExec", "Exec", "Mmap", "SYS_IO_URING_SETUP"}
					if isName && within.Name == name && slices.Contains(forbidden, selector.Sel.Name) {
						t.Errorf("%s uses %s.%s", file.path, name, selector.Sel.Name)
					}
					return true
				})
			}
		}
	}
}

// agreedLibraries are the modules that the code may import, besides the standard
// library; docs/design/0001-overview.md says what each is for.
var agreedLibraries = []string{
	"github.com/alecthomas/kong", "github.com/phuslu/log", "github.com/rotisserie/eris",
	"github.com/fxamacker/cbor/v2", "golang.org/x/sync/errgroup", "github.com/goccy/go-yaml",
	"go.starlark.net/", "github.com/prometheus/client_golang/", "github.com/HdrHistogram/hdrhistogram-go",
	"github.com/cespare/xxhash/v2", "gonum.org/v1/", "github.com/anishathalye/porcupine", "pgregory.net/rapid",
	"golang.org/x/sys/unix",
}

func TestOnlyAgreedLibraries(t *testing.T) {
	overview, err := os.ReadFile(filepath.Join(testkit.Root(t), "docs/design/0001-overview.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, library := range agreedLibraries {
		if !strings.Contains(string(overview), strings.TrimSuffix(library, "/")) {
			t.Errorf("the overview does not say what %s is for", library)
		}
	}
	for _, below := range []string{"cmd", "internal"} {
		for _, file := range sources(t, below) {
			for _, path := range file.imports {
				if !strings.Contains(path, ".") || strings.HasPrefix(path, "github.com/loomgrade/loomgrade/") {
					continue
				}
				if !slices.ContainsFunc(agreedLibraries, func(library string) bool { return strings.HasPrefix(path, library) }) {
					t.Errorf("%s imports %s, which is not agreed", file.path, path)
				}
			}
		}
	}
}

func TestEveryPackageIsDocumented(t *testing.T) {
	documented := map[string]bool{}
	for _, below := range []string{"cmd", "internal"} {
		for _, file := range sources(t, below) {
			folder := filepath.Dir(file.path)
			documented[folder] = documented[folder] || file.syntax.Doc != nil
		}
	}
	for folder, has := range documented {
		if !has {
			t.Errorf("%s has no package comment", folder)
		}
	}
}

// platformPackage speaks the users' platform.
const platformPackage = "github.com/loomgrade/loomgrade/platform"

// TestOnlyThePlatformFolderKnowsThePlatform: its names stand nowhere else in the
// programs, and only the commands put it together with the rest.
func TestOnlyThePlatformFolderKnowsThePlatform(t *testing.T) {
	names := []string{"x-loomgrade-", "/loomgrade/", "attempt-id", "response-seal"}
	for _, below := range []string{"cmd", "internal"} {
		for _, file := range sources(t, below) {
			for _, path := range file.imports {
				if path == platformPackage && !strings.HasPrefix(file.path, "cmd/loomgrade/") {
					t.Errorf("%s imports %s", file.path, path)
				}
			}
			ast.Inspect(file.syntax, func(node ast.Node) bool {
				if _, isImport := node.(*ast.ImportSpec); isImport {
					return false
				}
				literal, isLiteral := node.(*ast.BasicLit)
				if !isLiteral || literal.Kind != token.STRING {
					return true
				}
				for _, name := range names {
					if strings.Contains(strings.ToLower(literal.Value), name) {
						t.Errorf("%s has the platform's name %s", file.path, literal.Value)
					}
				}
				return true
			})
		}
	}
}

// TestThePlatformFolderDecidesNothing: it reads no clock, draws nothing, starts
// nothing, sends nothing and keeps nothing between calls.
func TestThePlatformFolderDecidesNothing(t *testing.T) {
	for _, file := range sources(t, "platform") {
		for _, path := range file.imports {
			if slices.Contains([]string{"os", "net", "syscall", "math/rand/v2", "crypto/rand", "sync", "sync/atomic", "golang.org/x/sync/errgroup"}, path) ||
				strings.Contains(path, "/internal/adapter") || strings.Contains(path, "/internal/core/consensus") {
				t.Errorf("%s imports %s", file.path, path)
			}
		}
		ast.Inspect(file.syntax, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", file.path)
			case *ast.SelectorExpr:
				if name, isName := node.X.(*ast.Ident); isName && slices.Contains(impureCalls[file.imports[name.Name]], node.Sel.Name) {
					t.Errorf("%s uses %s.%s", file.path, name.Name, node.Sel.Name)
				}
			}
			return true
		})
	}
}

// siteSources hold the decisions of a site's processes on the users' platform.
var siteSources = []string{
	"cmd/loomgrade/cmd_site", "cmd/loomgrade/site", "platform/",
	"internal/adapter/eventlog/", "internal/adapter/httpcall/", "internal/adapter/tcpsocket/", "internal/adapter/wire/",
	"internal/app/front/", "internal/app/group/", "internal/app/jobsapi/", "internal/app/proxy/", "internal/app/replicacall/",
	"internal/app/sitecontrol/", "internal/app/sitestore/", "internal/app/siteview/",
	"internal/core/balance/", "internal/core/consensus/", "internal/core/groupmember/", "internal/core/jobqueue/",
	"internal/core/jobstate/", "internal/core/routing/", "internal/core/sitestate/",
}

// stripsSteadyClock are methods of time.Time, and functions of package time, that
// leave the time of day alone.
var stripsSteadyClock = []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "UTC", "Local", "MarshalBinary", "MarshalText", "MarshalJSON"}

// TestASiteLivesByTheSteadyClock: the time of day jumps on some machines, so no
// process of a site takes a decision by it. Readings of time.Now compare by the
// steady clock until one of these strips it.
func TestASiteLivesByTheSteadyClock(t *testing.T) {
	seen := map[string]bool{}
	for _, below := range []string{"cmd", "platform", "internal"} {
		for _, file := range sources(t, below) {
			i := slices.IndexFunc(siteSources, func(prefix string) bool { return strings.HasPrefix(file.path, prefix) })
			if i < 0 {
				continue
			}
			seen[siteSources[i]] = true
			ast.Inspect(file.syntax, func(node ast.Node) bool {
				if selector, isSelector := node.(*ast.SelectorExpr); isSelector && slices.Contains(stripsSteadyClock, selector.Sel.Name) {
					t.Errorf("%s uses %s, which strips the steady clock", file.path, selector.Sel.Name)
				}
				return true
			})
		}
	}
	if len(seen) != len(siteSources) {
		t.Errorf("sources of %d of %d places were found", len(seen), len(siteSources))
	}
}
