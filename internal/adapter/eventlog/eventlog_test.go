package eventlog_test

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// Every declared event is described, with the same words on the page.
func TestCatalogueMatchesPage(t *testing.T) {
	described := map[string]string{}
	for _, event := range eventlog.Catalogue {
		described[event.Event] = event.Meaning
	}
	syntax, err := parser.ParseFile(token.NewFileSet(), filepath.Join(testkit.Root(t), "internal/adapter/eventlog/events.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := 0
	ast.Inspect(syntax, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue || spec.Type == nil {
			return true
		}
		if name, isName := spec.Type.(*ast.Ident); !isName || name.Name != "Event" {
			return true
		}
		event, _ := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		declared++
		if described[event] == "" {
			t.Errorf("%s is not described", event)
		}
		return true
	})
	if declared < 20 || declared != len(described) {
		t.Errorf("%d events declared, %d described", declared, len(described))
	}
	rows := testkit.PageRows(t, "docs/operators/log-lines.md", "Events")
	if len(rows) != len(described) {
		t.Errorf("%d rows on the page, %d events", len(rows), len(described))
	}
	for _, row := range rows {
		event := strings.Trim(row[0], "`")
		if described[event] != row[1] {
			t.Errorf("%s: the page has %q, the catalogue %q", event, row[1], described[event])
		}
	}
}

// A full pipe without a reader must not block the loggers.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = reader.Close(), writer.Close() }()
	lines := eventlog.New(writer)
	logger := lines.Logger("p")
	text := strings.Repeat("x", 2000)
	for range 5000 {
		logger.Warn().Str(eventlog.Field, eventlog.RequestFailed).Msg(text)
	}
	if lines.Dropped() == 0 {
		t.Error("no line was dropped although nobody reads")
	}
}

// Ordinary lines above the rate limit are dropped and counted.
func TestOrdinaryLinesAreBoundedAndCounted(t *testing.T) {
	lines := eventlog.New(io.Discard)
	logger := lines.Logger("p")
	const count = 5000
	for range count {
		logger.Info().Str(eventlog.Field, eventlog.RequestEnded).Msg("m")
	}
	if dropped := lines.Dropped(); dropped < count/2 || dropped >= count {
		t.Errorf("%d of %d lines dropped", dropped, count)
	}
}

func BenchmarkLine(b *testing.B) {
	logger := eventlog.New(io.Discard).Logger("p")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().Str(eventlog.Field, eventlog.RequestEnded).Str("id", "9c41d07be2a35f68").Int("sends", 1).Msg("m")
	}
}

// Important lines are written even if many ordinary lines are dropped.
func TestImportantLinesAreNotDropped(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	lines := eventlog.New(writer)
	logger := lines.Logger("p")
	const ordinary, important = 2000, 50
	for range ordinary {
		logger.Info().Str(eventlog.Field, eventlog.ItemPlaced).Msg("ordinary")
	}
	for range important {
		eventlog.Important(logger).Info().Str(eventlog.Field, eventlog.JobDone).Msg("important")
	}
	seen := 0
	scanner := bufio.NewScanner(reader)
	for seen < important && scanner.Scan() {
		if strings.Contains(scanner.Text(), eventlog.JobDone) {
			seen++
		}
	}
	if seen != important {
		t.Errorf("%d of %d important lines", seen, important)
	}
	if lines.Dropped() == 0 {
		t.Error("no ordinary line was dropped, so the test proves nothing")
	}
	_ = reader.Close()
}
