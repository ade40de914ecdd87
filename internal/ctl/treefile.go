package ctl

import (
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/loomkeel/loomkeel/internal/command"
	"github.com/loomkeel/loomkeel/internal/query"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// TreeFileError holds all errors in the tree file with the name File.
type TreeFileError struct {
	File   string
	Errors []error
}

// Error implements error.
func (e *TreeFileError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, err := range e.Errors {
		lines[i] = e.File + ": " + err.Error()
	}
	return strings.Join(lines, "\n")
}

// ReadTreeFile reads a tree file, which is INI with a section for each path. An empty value
// unsets the key. The edits are returned in the order of the file. If they are invalid, they
// are returned with a *TreeFileError.
func ReadTreeFile(file string) ([]command.Edit, error) {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	var edits []command.Edit
	for _, s := range f.Sections() {
		path := s.Name()
		if path == ini.DefaultSection {
			path = "/"
		}
		for _, k := range s.Keys() {
			edits = append(edits, command.Edit{Path: path, Key: k.Name(), Value: k.Value(), Unset: k.Value() == ""})
		}
	}
	return edits, checkEdits(file, edits)
}

// checkEdits returns a *TreeFileError if edits are invalid by themselves or make an invalid
// tree when they are applied to an empty one.
func checkEdits(file string, edits []command.Edit) error {
	treeEdits := make([]tree.Edit, len(edits))
	for i, e := range edits {
		treeEdits[i] = tree.Edit{Path: e.Path, Key: e.Key, Value: e.Value, Unset: e.Unset}
	}
	errs := tree.CheckEdits(treeEdits)
	errs = append(errs, new(tree.Tree).Apply(treeEdits, 1).Check()...)
	if len(errs) > 0 {
		return &TreeFileError{file, errs}
	}
	return nil
}

// diff returns a line for each edit that changes the current tree, sorted. A line begins
// with "-" for a removed, "+" for a new and "~" for a changed setting.
func diff(current query.Tree, edits []command.Edit) []string {
	values := make(map[[2]string]string)
	for _, s := range current.Settings {
		values[[2]string{s.Path, s.Key}] = s.Value
	}
	var lines []string
	for _, e := range edits {
		old, set := values[[2]string{e.Path, e.Key}]
		switch {
		case e.Unset && set:
			lines = append(lines, fmt.Sprintf("- %s %s = %s", e.Path, e.Key, old))
		case !e.Unset && !set:
			lines = append(lines, fmt.Sprintf("+ %s %s = %s", e.Path, e.Key, e.Value))
		case !e.Unset && old != e.Value:
			lines = append(lines, fmt.Sprintf("~ %s %s = %s (was %s)", e.Path, e.Key, e.Value, old))
		}
	}
	sort.Strings(lines)
	return lines
}
