package config

import (
	"fmt"

	"knapweedwell/inifile"
)

// Change is a difference between two configuration texts.
type Change struct {
	Section string
	Key     string // empty if the whole section was added or removed
	Old     string
	New     string
}

// String renders the change as a line that begins with +, - or ~.
func (c Change) String() string {
	switch {
	case c.Key == "" && c.Old == "":
		return fmt.Sprintf("+ [%s]", c.Section)
	case c.Key == "":
		return fmt.Sprintf("- [%s]", c.Section)
	case c.Old == "":
		return fmt.Sprintf("+ [%s] %s = %s", c.Section, c.Key, c.New)
	case c.New == "":
		return fmt.Sprintf("- [%s] %s = %s", c.Section, c.Key, c.Old)
	}
	return fmt.Sprintf("~ [%s] %s = %s (was %s)", c.Section, c.Key, c.New, c.Old)
}

// Diff returns the changes from one text to another, ordered by section and key.
func Diff(before, after string) []Change {
	oldSections, newSections := flatten(before), flatten(after)
	var changes []Change
	for _, header := range sortedKeys(union(oldSections, newSections)) {
		changes = append(changes, diffSection(header, oldSections[header], newSections[header])...)
	}
	return changes
}

// diffSection returns the changes from the old values of a section to the new
// ones, by key. Values that are nil mean that there is no such section.
func diffSection(header string, oldValues, newValues map[string]string) []Change {
	switch {
	case oldValues == nil:
		changes := []Change{{Section: header, New: header}}
		return append(changes, diffKeys(header, nil, newValues)...)
	case newValues == nil:
		return []Change{{Section: header, Old: header}}
	}
	return diffKeys(header, oldValues, newValues)
}

func diffKeys(header string, oldValues, newValues map[string]string) []Change {
	keys := map[string]bool{}
	for key := range oldValues {
		keys[key] = true
	}
	for key := range newValues {
		keys[key] = true
	}
	var changes []Change
	for _, key := range sortedKeys(keys) {
		if oldValues[key] != newValues[key] {
			changes = append(changes, Change{Section: header, Key: key, Old: oldValues[key], New: newValues[key]})
		}
	}
	return changes
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
