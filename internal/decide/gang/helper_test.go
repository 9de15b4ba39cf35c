package gang

import (
	"reflect"
	"slices"
)

// sortedIDs returns the keys of a map whose keys are job ids, in ascending
// order.
func sortedIDs(m any) []string {
	var ids []string
	for _, k := range reflect.ValueOf(m).MapKeys() {
		ids = append(ids, k.String())
	}
	slices.Sort(ids)
	return ids
}
