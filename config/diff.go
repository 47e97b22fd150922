package config

import (
	"fmt"

	"knapweedwell/inifile"
)

// Difference is one difference between two configuration texts.
type Difference struct {
	Section string
	Key     string // empty if the whole section was added or removed
	Old     string
	New     string
	Added   bool
	Removed bool
}

// String renders the difference as a line that begins with +, - or ~.
func (d Difference) String() string {
	switch {
	case d.Key == "" && d.Added:
		return fmt.Sprintf("+ [%s]", d.Section)
	case d.Key == "":
		return fmt.Sprintf("- [%s]", d.Section)
	case d.Added:
		return fmt.Sprintf("+ [%s] %s = %s", d.Section, d.Key, d.New)
	case d.Removed:
		return fmt.Sprintf("- [%s] %s = %s", d.Section, d.Key, d.Old)
	}
	return fmt.Sprintf("~ [%s] %s = %s (was %s)", d.Section, d.Key, d.New, d.Old)
}

// Diff returns the differences between two texts, ordered by section and key.
func Diff(before, after string) []Difference {
	oldSections, newSections := flatten(before), flatten(after)
	var differences []Difference
	for _, header := range sortedKeys(union(oldSections, newSections)) {
		differences = append(differences, diffSection(header, oldSections[header], newSections[header])...)
	}
	return differences
}

// diffSection returns the differences between the old values of a section and the
// new ones, by key. Values that are nil mean that there is no such section.
func diffSection(header string, oldValues, newValues map[string]string) []Difference {
	switch {
	case oldValues == nil:
		differences := []Difference{{Section: header, New: header, Added: true}}
		return append(differences, diffKeys(header, nil, newValues)...)
	case newValues == nil:
		return []Difference{{Section: header, Old: header, Removed: true}}
	}
	return diffKeys(header, oldValues, newValues)
}

func diffKeys(header string, oldValues, newValues map[string]string) []Difference {
	keys := map[string]bool{}
	for key := range oldValues {
		keys[key] = true
	}
	for key := range newValues {
		keys[key] = true
	}
	var differences []Difference
	for _, key := range sortedKeys(keys) {
		before, had := oldValues[key]
		after, has := newValues[key]
		if before != after || had != has {
			differences = append(differences, Difference{Section: header, Key: key, Old: before, New: after, Added: !had, Removed: !has})
		}
	}
	return differences
}

// flatten returns the values of a text by section header and key.
func flatten(text string) map[string]map[string]string {
	sections := map[string]map[string]string{}
	for _, s := range inifile.Parse("", text).Sections {
		keys := map[string]string{}
		for key, v := range s.Keys {
			keys[key] = v.Text
		}
		sections[s.Header()] = keys
	}
	return sections
}

// union returns the section headers of both texts.
func union(a, b map[string]map[string]string) map[string]bool {
	all := map[string]bool{}
	for key := range a {
		all[key] = true
	}
	for key := range b {
		all[key] = true
	}
	return all
}
