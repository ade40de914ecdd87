// Package days keeps the days of faults in deploy/days readable: they are played against
// deployments that this repository does not hold.
package days

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

const folder = "../../deploy/days"

// minDays is how many days there are at least.
const minDays = 12

// given are days that users wrote for a deployment of theirs, with its names. They stand as
// they were given, to the letter.
var given = map[string]string{
	"deadly.toml": `name = "deadly"
faults = [{ at = 5.0, kind = "poison", how = "deadly", class = "acct-history", share = 0.03, for_s = 20.0 }]
`,
}

// event is a fault or a planned piece of work.
type event struct {
	Kind    string  `toml:"kind"`
	At      float64 `toml:"at"`
	For     float64 `toml:"for_s"`
	Share   float64 `toml:"share"`
	Zone    string  `toml:"zone"`
	Service string  `toml:"service"`
	Class   string  `toml:"class"`
}

type day struct {
	Name   string  `toml:"name"`
	Slot   string  `toml:"slot"`
	Plan   []event `toml:"plan"`
	Faults []event `toml:"faults"`
}

func TestDays(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil || len(files) < minDays {
		t.Fatalf("%d days, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { checkFile(t, file) })
	}
}

func checkFile(t *testing.T, file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if want, ok := given[filepath.Base(file)]; ok {
		if string(raw) != want {
			t.Errorf("the file is %q; allowed: as it was given, %q", raw, want)
		}
		return
	}
	if purpose, _, _ := strings.Cut(string(raw), "\n"); !strings.HasPrefix(purpose, "# ") || !strings.HasSuffix(purpose, ".") {
		t.Errorf("the first line is %q; allowed: a comment that says what the day is for", purpose)
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
		t.Error("nothing happens")
	}
	for _, e := range events {
		checkEvent(t, e)
	}
}

func checkEvent(t *testing.T, e event) {
	if e.Kind == "" || e.At <= 0 || e.For < 0 || e.Share < 0 || e.Share > 1 {
		t.Errorf("%+v; allowed: a kind, at above 0, for_s from 0, share from 0 to 1", e)
	}
	for _, place := range []string{e.Zone, e.Service, e.Class} {
		if place != "" && !strings.HasPrefix(place, "@") {
			t.Errorf("%s at %v names %q; allowed: @z0, @s0, @c0, so that the day fits any deployment", e.Kind, e.At, place)
		}
	}
}
