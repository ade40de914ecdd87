// Package days checks the form of the files in deploy/days. Each describes a day, a
// scenario of planned work and faults, which the users' tools run against deployments
// that are not part of this repository.
package days

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

const folder = "../../deploy/days"

// minDays is the least number of files that the folder must hold.
const minDays = 12

// userDays holds the content of files that users wrote for a deployment of their own, by
// file name. They use its names and must stay as they are.
var userDays = map[string]string{
	"deadly.toml": `name = "deadly"
faults = [{ at = 5.0, kind = "poison", how = "deadly", class = "acct-history", share = 0.03, for_s = 20.0 }]
`,
}

// event is a fault or a piece of planned work. At and For are in seconds.
type event struct {
	Kind    string  `toml:"kind"`
	At      float64 `toml:"at"`
	For     float64 `toml:"for_s"`
	Share   float64 `toml:"share"`
	Zone    string  `toml:"zone"`
	Service string  `toml:"service"`
	Class   string  `toml:"class"`
}

// day is one scenario.
type day struct {
	Name   string  `toml:"name"`
	Slot   string  `toml:"slot"`
	Plan   []event `toml:"plan"`
	Faults []event `toml:"faults"`
}

// TestDays checks every file of the folder.
func TestDays(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil || len(files) < minDays {
		t.Fatalf("%d days, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { checkFile(t, file) })
	}
}

// checkFile checks that a file starts with a comment on its purpose and holds one valid
// day named after the file.
func checkFile(t *testing.T, file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if want, ok := userDays[filepath.Base(file)]; ok {
		if string(raw) != want {
			t.Errorf("the file is %q; allowed: the users' text, %q", raw, want)
		}
		return
	}
	if purpose, _, _ := strings.Cut(string(raw), "\n"); !strings.HasPrefix(purpose, "# ") || !strings.HasSuffix(purpose, ".") {
		t.Errorf("the first line is %q; allowed: a comment on the purpose of the day, which ends with a full stop", purpose)
	}
	var f struct {
		Days []day `toml:"day"`
	}
	if _, err := toml.Decode(string(raw), &f); err != nil {
		t.Fatal(err)
	}
	if len(f.Days) != 1 {
		t.Fatalf("%d days in a file; allowed: one", len(f.Days))
	}
	d := f.Days[0]
	if want := strings.TrimSuffix(filepath.Base(file), ".toml"); d.Name != want || d.Slot == "" {
		t.Errorf("name = %q, slot = %q; allowed: the file's name, and a slot", d.Name, d.Slot)
	}
	events := append(d.Plan, d.Faults...)
	if len(events) == 0 {
		t.Error("no plan and no faults; allowed: at least one event")
	}
	for _, e := range events {
		checkEvent(t, e)
	}
}

// checkEvent checks an event's numbers, and that its places are placeholders.
func checkEvent(t *testing.T, e event) {
	if e.Kind == "" || e.At <= 0 || e.For < 0 || e.Share < 0 || e.Share > 1 {
		t.Errorf("%+v; allowed: a kind, at above 0, for_s from 0, share from 0 to 1", e)
	}
	for _, place := range []string{e.Zone, e.Service, e.Class} {
		if place != "" && !strings.HasPrefix(place, "@") {
			t.Errorf("%s at %v names %q; allowed: @z0, @s0, @c0, which stand for places of any deployment", e.Kind, e.At, place)
		}
	}
}
