package nodestate

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys gives a map's keys in order, so that nothing hangs on the map's.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }
