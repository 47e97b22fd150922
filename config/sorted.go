package config

import (
	"reflect"
	"sort"
)

// sortedKeys returns the keys of a map with string keys in ascending order.
func sortedKeys(m any) []string {
	values := reflect.ValueOf(m).MapKeys()
	keys := make([]string, len(values))
	for i, v := range values {
		keys[i] = v.String()
	}
	sort.Strings(keys)
	return keys
}
