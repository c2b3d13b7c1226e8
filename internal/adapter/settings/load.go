package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
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
	check := func() []*Error {
		file.applyDefaults()
		return file.check()
	}
	if err := Decode(path, content, &file, check); err != nil {
		return nil, err
	}
	return &file, nil
}

// Decode reads strict YAML into a target and runs a check that completes and
// judges it. Unknown and repeated keys are refused. The faults of the check name
// their keys; Decode adds the file and the line, and returns all of them
// together, one a line. Path stands in messages only.
func Decode(path string, content []byte, target any, check func() []*Error) error {
	if err := yaml.UnmarshalWithOptions(content, target, yaml.Strict()); err != nil {
		return decodeError(path, err)
	}
	faults := check()
	if len(faults) == 0 {
		return nil
	}
	document, err := parser.ParseBytes(content, 0)
	if err != nil {
		return eris.Wrapf(err, "settings file %s", path)
	}
	var joined []error
	for _, fault := range faults {
		fault.File = path
		fault.Line = lineOf(document, fault.Key)
		joined = append(joined, fault)
	}
	return errors.Join(joined...)
}

// decodeError names the key and value of a wrong type, and keeps the decoder's
// own message for all else.
func decodeError(path string, err error) error {
	var wrongType *yaml.TypeError
	if !errors.As(err, &wrongType) || wrongType.Token == nil || wrongType.DstType == nil {
		return eris.Errorf("%s: %s", path, firstLine(err))
	}
	return &Error{
		File:    path,
		Line:    wrongType.Token.Position.Line,
		Key:     keyBefore(wrongType.Token),
		Value:   wrongType.Token.Value,
		Allowed: kindAllowed(wrongType.DstType.Kind()),
	}
}

// keyBefore gives the key that a value's token belongs to.
func keyBefore(value *token.Token) string {
	for at := value.Prev; at != nil; at = at.Prev {
		if at.Type == token.MappingValueType && at.Prev != nil {
			return at.Prev.Value
		}
	}
	return "value"
}

// kindAllowed says in words what a Go kind holds.
func kindAllowed(kind reflect.Kind) string {
	switch kind {
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint32:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice, reflect.Array:
		return "a list"
	case reflect.Struct, reflect.Map, reflect.Pointer:
		return "a section of keys"
	default:
		return "a text"
	}
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
