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

// TreeFileError are all that is wrong with a tree file.
type TreeFileError struct {
	File   string
	Errors []error
}

// Error implements error.
func (f *TreeFileError) Error() string {
	lines := make([]string, len(f.Errors))
	for i, e := range f.Errors {
		lines[i] = f.File + ": " + e.Error()
	}
	return strings.Join(lines, "\n")
}

// ReadTreeFile reads a tree file: INI with a section for each path. An empty
// value unsets the key. The edits come in the order of the file.
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
	return edits, check(file, edits)
}

func check(file string, edits []command.Edit) error {
	plain := make([]tree.Edit, len(edits))
	for i, e := range edits {
		plain[i] = tree.Edit{Path: e.Path, Key: e.Key, Value: e.Value, Unset: e.Unset}
	}
	faults := tree.CheckEdits(plain)
	faults = append(faults, new(tree.Tree).Apply(plain, 1).Check()...)
	if len(faults) > 0 {
		return &TreeFileError{file, faults}
	}
	return nil
}

// diff returns the edits that change what the tree says now.
func diff(now query.Tree, edits []command.Edit) []string {
	have := make(map[[2]string]string)
	for _, s := range now.Settings {
		have[[2]string{s.Path, s.Key}] = s.Value
	}
	var lines []string
	for _, e := range edits {
		old, set := have[[2]string{e.Path, e.Key}]
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
