package nodestate

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the sorted keys of a map, for a deterministic iteration order.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }
