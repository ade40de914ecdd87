// Package docs checks that generated pages and the examples match the code.
package docs

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/loomkeel/loomkeel/internal/ctl"
	"github.com/loomkeel/loomkeel/internal/settings"
	"github.com/loomkeel/loomkeel/internal/tree"
)

var update = flag.Bool("update", false, "generate docs/SETTINGS.md")

const intro = `# Settings

This page is made from the code; ` + "`go test ./test/docs -update`" + ` writes it anew.

## The settings file of an instance

One INI file serves all processes of an instance. Every binary's ` + "`check`" + `
command reads it and prints all faults. An unknown section or key is a fault.

`

const treeIntro = `## The tree of settings

Operators edit the tree with loomkeelctl. A path inherits from the nearest path
above it what it does not set itself.

`

// TestSettingsPage compares docs/SETTINGS.md with the page generated from the code. With
// -update it writes the page first.
func TestSettingsPage(t *testing.T) {
	want := intro + settings.Markdown() + treeIntro + tree.Markdown()
	file := filepath.Join("..", "..", "docs", "SETTINGS.md")
	if *update {
		if err := os.WriteFile(file, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/SETTINGS.md differs from the page generated from the code; run: go test ./test/docs -update")
	}
}

// TestExamples loads every example file by the functions that the commands use.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d examples found, error %v", len(files), err)
	}
	for _, f := range files {
		if filepath.Base(f) == "tree.ini" {
			if _, err := ctl.ReadTreeFile(f); err != nil {
				t.Error(err)
			}
			continue
		}
		if _, err := settings.Load(f); err != nil {
			t.Error(err)
		}
	}
}
