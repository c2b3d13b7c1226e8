package policy_test

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const page = "docs/operators/policies.md"

// fieldsOf returns the names of a struct's fields in programs, sorted.
func fieldsOf(described reflect.Type) []string {
	var names []string
	for index := range described.NumField() {
		names = append(names, described.Field(index).Tag.Get("json"))
	}
	slices.Sort(names)
	return names
}

// documentedFields returns the quoted names in the first column under a heading, sorted.
func documentedFields(t *testing.T, heading string) []string {
	t.Helper()
	var names []string
	for _, row := range testkit.PageRows(t, page, heading) {
		names = append(names, testkit.CodeSpans(row[0])...)
	}
	slices.Sort(names)
	return names
}

func TestFieldsMatchDocumentation(t *testing.T) {
	seen := append(fieldsOf(reflect.TypeFor[policy.View]()), fieldsOf(reflect.TypeFor[policy.Replica]())...)
	slices.Sort(seen)
	if listed := documentedFields(t, "What a program sees"); !slices.Equal(listed, seen) {
		t.Errorf("the page lists\n%v\na program sees\n%v", listed, seen)
	}
	decided := fieldsOf(reflect.TypeFor[policy.Plan]())
	if listed := documentedFields(t, "What a program decides"); !slices.Equal(listed, decided) {
		t.Errorf("the page lists\n%v\na program decides\n%v", listed, decided)
	}
}

// TestDocumentedExamplePassesCheck checks the page's example program.
func TestDocumentedExamplePassesCheck(t *testing.T) {
	_, rest, found := strings.Cut(testkit.Page(t, page), "    def plan")
	if !found {
		t.Fatal("the page has no example")
	}
	example, _, _ := strings.Cut("    def plan"+rest, "\n\n")
	var program strings.Builder
	for line := range strings.Lines(example) {
		program.WriteString(strings.TrimPrefix(line, "    "))
	}
	if _, err := policy.Check(program.String() + "\n"); err != nil {
		t.Errorf("the page's example: %v", err)
	}
}
