package config

import (
	"reflect"
	"sort"
)

// sortedKeys returns the keys of a map with string keys in ascending order.
func sortedKeys(m any) []string {
	keyValues := reflect.ValueOf(m).MapKeys()
	keys := make([]string, len(keyValues))
	for i, v := range keyValues {
		keys[i] = v.String()
	}
	sort.Strings(keys)
	return keys
}
