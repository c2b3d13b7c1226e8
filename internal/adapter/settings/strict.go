package settings

import (
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// strictErrors checks a document against its target type where the decoder is
// lenient or imprecise: further documents, unknown keys, fractions in place of
// integers, and YAML tags, anchors and aliases, which settings do not need.
func strictErrors(document *ast.File, target reflect.Type) []*Error {
	var check strictCheck
	first := true
	for _, part := range document.Docs {
		if part.Body == nil {
			continue
		}
		if !first {
			check.addError(part.Body, &Error{Key: "---", Value: "a second document", Allowed: "one document"})
			break
		}
		first = false
		ast.Walk(&check, part.Body)
		check.value(part.Body, target, "")
	}
	return check.errors
}

// strictCheck collects the errors of one document.
type strictCheck struct{ errors []*Error }

func (c *strictCheck) addError(node ast.Node, invalid *Error) {
	position := node.GetToken().Position
	invalid.Line, invalid.Column = position.Line, position.Column
	c.errors = append(c.errors, invalid)
}

// Visit rejects tags, anchors and aliases; it implements ast.Visitor.
func (c *strictCheck) Visit(node ast.Node) ast.Visitor {
	switch node.(type) {
	case *ast.TagNode, *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		c.addError(node, &Error{Key: "value", Value: node.GetToken().Value, Allowed: "values without tags, anchors and aliases"})
	}
	return c
}

func (c *strictCheck) value(node ast.Node, target reflect.Type, key string) {
	for target.Kind() == reflect.Pointer {
		target = target.Elem()
	}
	if isSection(target) && isScalar(node) {
		c.addError(node, &Error{Key: key, Value: node.String(), Allowed: kindAllowed(target.Kind())})
		return
	}
	switch node := node.(type) {
	case *ast.MappingNode:
		for _, pair := range node.Values {
			c.pair(pair, target, key)
		}
	case *ast.MappingValueNode:
		c.pair(node, target, key)
	case *ast.SequenceNode:
		if target.Kind() == reflect.Slice || target.Kind() == reflect.Array {
			for _, element := range node.Values {
				c.value(element, target.Elem(), key)
			}
		}
	case *ast.FloatNode:
		if isInteger(target.Kind()) {
			c.addError(node, &Error{Key: key, Value: node.String(), Allowed: kindAllowed(target.Kind())})
		}
	}
}

// pair checks one key and its value. Keys of non-struct values are not restricted.
func (c *strictCheck) pair(pair *ast.MappingValueNode, target reflect.Type, parent string) {
	if !isSection(target) {
		return
	}
	name := pair.Key.GetToken().Value
	key := strings.TrimPrefix(parent+"."+name, ".")
	field, exists := fieldOf(target, name)
	if !exists {
		c.addError(pair.Key, &Error{Key: key, unknown: true, Allowed: strings.Join(fieldNames(target), ", ")})
		return
	}
	c.value(pair.Value, field, key)
}

// fieldName returns the YAML key of a struct field, or "" if there is none.
func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func fieldOf(target reflect.Type, name string) (reflect.Type, bool) {
	for index := range target.NumField() {
		if field := target.Field(index); fieldName(field) == name {
			return field.Type, true
		}
	}
	return nil, false
}

// fieldNames returns the keys of a struct in alphabetical order.
func fieldNames(target reflect.Type) []string {
	var names []string
	for index := range target.NumField() {
		if name := fieldName(target.Field(index)); name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isSection reports whether target is a settings struct, which names the key of each
// field, and not a value such as Duration, which decodes itself.
func isSection(target reflect.Type) bool {
	return target.Kind() == reflect.Struct && len(fieldNames(target)) == target.NumField()
}

// isScalar reports whether a node is a number, a text or a boolean.
func isScalar(node ast.Node) bool {
	switch node.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.StringNode, *ast.BoolNode:
		return true
	default:
		return false
	}
}

func isInteger(kind reflect.Kind) bool {
	return kind >= reflect.Int && kind <= reflect.Uint64
}
