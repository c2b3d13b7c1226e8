package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Error says which setting is not allowed, and where it stands.
type Error struct {
	File string
	// Line counts from 1; 0 means that the setting is missing.
	Line    int
	Key     string
	Value   string
	Allowed string
}

// Error gives one line: file, line, key, value and what is allowed.
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Value == "" {
		return fmt.Sprintf("%s: %s is missing or empty, allowed: %s", place, e.Key, e.Allowed)
	}
	return fmt.Sprintf("%s: %s = %q is not allowed, allowed: %s", place, e.Key, e.Value, e.Allowed)
}

// Load reads, completes and checks the settings file at a path. All faults
// found are returned together, one a line.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings file %s", path)
	}
	if info.Size() > maxFileBytes {
		return nil, eris.Errorf("settings file %s: %d bytes, allowed: at most %d", path, info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "settings file %s", path)
	}
	return Parse(path, content)
}

// Parse reads settings from memory; path stands in messages only.
func Parse(path string, content []byte) (*File, error) {
	var file File
	if err := yaml.UnmarshalWithOptions(content, &file, yaml.Strict()); err != nil {
		return nil, eris.Errorf("%s: %s", path, firstLine(err))
	}
	file.applyDefaults()
	faults := file.check()
	if len(faults) == 0 {
		return &file, nil
	}
	document, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, eris.Wrapf(err, "settings file %s", path)
	}
	var joined []error
	for _, fault := range faults {
		fault.File = path
		fault.Line = lineOf(document, fault.Key)
		joined = append(joined, fault)
	}
	return nil, errors.Join(joined...)
}

// firstLine keeps a decoder's message, which starts with [line:column], and
// drops the excerpt that follows.
func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	return text
}

// lineOf finds the line of a key such as control.members[1].address, or 0.
func lineOf(document *ast.File, key string) int {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(document)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
