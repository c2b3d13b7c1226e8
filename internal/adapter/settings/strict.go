package settings

import (
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// strictFaults compares a document with the type that it is decoded into, where
// the decoder is lenient or says too little: further documents, unknown keys,
// fractions in place of whole numbers, and YAML's tags, anchors and aliases,
// which settings don't need.
func strictFaults(document *ast.File, target reflect.Type) []*Error {
	var check strictCheck
	first := true
	for _, part := range document.Docs {
		if part.Body == nil {
			continue
		}
		if !first {
			check.fault(part.Body, &Error{Key: "---", Value: "a second document", Allowed: "one document"})
			break
		}
		first = false
		ast.Walk(&check, part.Body)
		check.value(part.Body, target, "")
	}
	return check.faults
}

// strictCheck gathers the faults of one document.
type strictCheck struct{ faults []*Error }

func (c *strictCheck) fault(node ast.Node, fault *Error) {
	position := node.GetToken().Position
	fault.Line, fault.Column = position.Line, position.Column
	c.faults = append(c.faults, fault)
}

// Visit refuses tags, anchors and aliases; it implements ast.Visitor.
func (c *strictCheck) Visit(node ast.Node) ast.Visitor {
	switch node.(type) {
	case *ast.TagNode, *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		c.fault(node, &Error{Key: "value", Value: node.GetToken().Value, Allowed: "values without tags, anchors and aliases"})
	}
	return c
}

func (c *strictCheck) value(node ast.Node, target reflect.Type, key string) {
	for target.Kind() == reflect.Pointer {
		target = target.Elem()
	}
	if isSection(target) && isPlain(node) {
		c.fault(node, &Error{Key: key, Value: node.String(), Allowed: kindAllowed(target.Kind())})
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
		if isWhole(target.Kind()) {
			c.fault(node, &Error{Key: key, Value: node.String(), Allowed: kindAllowed(target.Kind())})
		}
	}
}

// pair checks one key and its value. Keys of anything but a struct are free.
func (c *strictCheck) pair(pair *ast.MappingValueNode, target reflect.Type, parent string) {
	if !isSection(target) {
		return
	}
	name := pair.Key.GetToken().Value
	key := strings.TrimPrefix(parent+"."+name, ".")
	field, known := fieldOf(target, name)
	if !known {
		c.fault(pair.Key, &Error{Key: key, unknown: true, Allowed: strings.Join(fieldNames(target), ", ")})
		return
	}
	c.value(pair.Value, field, key)
}

// fieldName gives the key that a struct's field is read from, or nothing.
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

// fieldNames lists the keys of a struct in the order of the alphabet.
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

// isSection tells structs of settings, which name the key of each field, from
// values such as Duration, which read themselves.
func isSection(target reflect.Type) bool {
	return target.Kind() == reflect.Struct && len(fieldNames(target)) == target.NumField()
}

// isPlain says that a node is a number, a text or true or false.
func isPlain(node ast.Node) bool {
	switch node.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.StringNode, *ast.BoolNode:
		return true
	default:
		return false
	}
}

func isWhole(kind reflect.Kind) bool {
	return kind >= reflect.Int && kind <= reflect.Uint64
}
