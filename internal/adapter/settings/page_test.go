package settings_test

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// keysOf returns the keys of a settings struct and its sections.
func keysOf(section reflect.Type, prefix string) []string {
	var keys []string
	for index := range section.NumField() {
		field := section.Field(index)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		inner := field.Type
		for inner.Kind() == reflect.Pointer || inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && inner != reflect.TypeFor[settings.Duration]() {
			keys = append(keys, keysOf(inner, prefix+name+".")...)
			continue
		}
		keys = append(keys, prefix+name)
	}
	return keys
}

func TestKeysAreDocumented(t *testing.T) {
	var documented []string
	for _, row := range testkit.PageRows(t, "docs/operators/settings.md", "Keys") {
		documented = append(documented, testkit.CodeSpans(row[0])...)
	}
	keys := keysOf(reflect.TypeFor[settings.File](), "")
	slices.Sort(keys)
	slices.Sort(documented)
	if !slices.Equal(keys, documented) {
		t.Errorf("the page lists\n%v\nthe settings are\n%v", documented, keys)
	}
}
