package settings_test

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
)

// keysOf lists the keys of a struct of settings with those of its sections.
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

func TestKeysAreThoseOfThePage(t *testing.T) {
	content, err := os.ReadFile("../../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for line := range strings.Lines(string(content)) {
		cell, isKey := strings.CutPrefix(line, "| `")
		if key, _, closed := strings.Cut(cell, "`"); isKey && closed {
			documented = append(documented, key)
		}
	}
	keys := keysOf(reflect.TypeFor[settings.File](), "")
	slices.Sort(keys)
	slices.Sort(documented)
	if !slices.Equal(keys, documented) {
		t.Errorf("the page lists\n%v\nthe settings are\n%v", documented, keys)
	}
}
