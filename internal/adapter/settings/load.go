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
	// Line and Column count from 1; 0 means that the setting is missing, or that
	// the line says enough.
	Line    int
	Column  int
	Key     string
	Value   string
	Allowed string
	// unknown says that there is no such key.
	unknown bool
}

// Error gives one line: file, line, key, value and what is allowed.
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Column > 0 {
		place = fmt.Sprintf("%s:%d", place, e.Column)
	}
	if e.unknown {
		return fmt.Sprintf("%s: %s is no known key, allowed: %s", place, e.Key, e.Allowed)
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
	file := File{Log: Log{RingLines: defaultRingLines}}
	if err := Decode(path, content, &file, file.check); err != nil {
		return nil, err
	}
	return &file, nil
}

// Decode reads strict YAML into a target, a pointer to a struct, and runs a
// check that completes and judges it. Unknown and repeated keys, further
// documents and fractions in place of whole numbers are refused. The faults of
// the check name their keys; Decode adds the file and the line, and returns all
// of them together, one a line. Path stands in messages only.
func Decode(path string, content []byte, target any, check func() []*Error) error {
	document, err := parser.ParseBytes(content, 0)
	if err != nil {
		return decodeError(path, err)
	}
	if faults := strictFaults(document, reflect.TypeOf(target).Elem()); len(faults) > 0 {
		return joinFaults(path, faults)
	}
	if err := yaml.UnmarshalWithOptions(content, target, yaml.Strict()); err != nil {
		return decodeError(path, err)
	}
	faults := check()
	for _, fault := range faults {
		fault.Line = lineOf(document, fault.Key)
	}
	return joinFaults(path, faults)
}

// joinFaults gives all faults as one error, or nil where there is none.
func joinFaults(path string, faults []*Error) error {
	var joined []error
	for _, fault := range faults {
		fault.File = path
		joined = append(joined, fault)
	}
	return errors.Join(joined...)
}

// decodeError names the key and value of a wrong type, and keeps the decoder's
// own message for all else.
func decodeError(path string, err error) error {
	var wrongType *yaml.TypeError
	if !errors.As(err, &wrongType) || wrongType.Token == nil || wrongType.DstType == nil {
		return eris.Errorf("%s:%s", path, firstLine(err))
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
// drops the excerpt that follows. It gives "line:column: message".
func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	if place, message, found := strings.Cut(strings.TrimPrefix(text, "["), "] "); found {
		return place + ": " + message
	}
	return " " + text
}

// lineOf finds the line of a key such as control.members[1].address. For one
// that is missing it is the line of the section that should hold it, or 0.
func lineOf(document *ast.File, key string) int {
	for {
		if line := lineOfPresent(document, key); line > 0 {
			return line
		}
		last := strings.LastIndexAny(key, ".[")
		if last < 0 {
			return 0
		}
		key = key[:last]
	}
}

func lineOfPresent(document *ast.File, key string) int {
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
