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

// maxFileBytes limits a settings file.
const maxFileBytes = 1 << 20

// Error reports an invalid setting and its position.
type Error struct {
	File string
	// Line and Column count from 1; 0 means that the setting is missing, or that
	// the line suffices.
	Line    int
	Column  int
	Key     string
	Value   string
	Allowed string
	// unknown is set if the key does not exist.
	unknown bool
}

// Error returns one line: file, line, key, value and the allowed values.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Column > 0 {
		position = fmt.Sprintf("%s:%d", position, e.Column)
	}
	if e.unknown {
		return fmt.Sprintf("%s: %s is an unknown key, allowed: %s", position, e.Key, e.Allowed)
	}
	if e.Value == "" {
		return fmt.Sprintf("%s: %s is missing or empty, allowed: %s", position, e.Key, e.Allowed)
	}
	return fmt.Sprintf("%s: %s = %q is not allowed, allowed: %s", position, e.Key, e.Value, e.Allowed)
}

// Load reads and validates the settings file at a path and sets the defaults. It
// returns all errors joined, one per line.
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

// Parse decodes settings from memory; path is used in messages only.
func Parse(path string, content []byte) (*File, error) {
	file := File{Log: Log{RingLines: defaultRingLines}}
	if err := Decode(path, content, &file, file.check); err != nil {
		return nil, err
	}
	return &file, nil
}

// Decode decodes strict YAML into target, a pointer to a struct, and runs check,
// which completes and validates it. Unknown and repeated keys, further documents and
// fractions in place of integers are rejected. The errors of check name their keys;
// Decode adds the file and line and returns all of them joined, one per line. path is
// used in messages only.
func Decode(path string, content []byte, target any, check func() []*Error) error {
	document, err := parser.ParseBytes(content, 0)
	if err != nil {
		return decodeError(path, err)
	}
	if invalid := strictErrors(document, reflect.TypeOf(target).Elem()); len(invalid) > 0 {
		return joinErrors(path, invalid)
	}
	if err := yaml.UnmarshalWithOptions(content, target, yaml.Strict()); err != nil {
		return decodeError(path, err)
	}
	invalid := check()
	for _, setting := range invalid {
		setting.Line = lineOf(document, setting.Key)
	}
	return joinErrors(path, invalid)
}

// joinErrors returns all errors as one, or nil if there are none.
func joinErrors(path string, invalid []*Error) error {
	var joined []error
	for _, setting := range invalid {
		setting.File = path
		joined = append(joined, setting)
	}
	return errors.Join(joined...)
}

// decodeError returns the key and value of a type error, and the decoder's own
// message otherwise.
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

// keyBefore returns the key to which a value's token belongs.
func keyBefore(value *token.Token) string {
	for at := value.Prev; at != nil; at = at.Prev {
		if at.Type == token.MappingValueType && at.Prev != nil {
			return at.Prev.Value
		}
	}
	return "value"
}

// kindAllowed describes the values of a Go kind.
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

// firstLine converts a decoder's message from "[line:column] message" to
// "line:column: message" and drops the excerpt that follows.
func firstLine(err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	if position, message, found := strings.Cut(strings.TrimPrefix(text, "["), "] "); found {
		return position + ": " + message
	}
	return " " + text
}

// lineOf returns the line of a key such as control.members[1].address. For a missing
// key it is the line of the enclosing section, or 0.
func lineOf(document *ast.File, key string) int {
	for {
		if line := lineOfExisting(document, key); line > 0 {
			return line
		}
		last := strings.LastIndexAny(key, ".[")
		if last < 0 {
			return 0
		}
		key = key[:last]
	}
}

func lineOfExisting(document *ast.File, key string) int {
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
