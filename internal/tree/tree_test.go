package tree

import (
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// apply checks edits and returns the tree after them.
func apply(t *testing.T, edits ...Edit) *Tree {
	t.Helper()
	if errs := CheckEdits(edits); len(errs) > 0 {
		t.Fatal(errs)
	}
	return new(Tree).Apply(edits, 1)
}

func TestInheritance(t *testing.T) {
	tr := apply(t,
		Edit{Path: "/", Key: KeyDeadline, Value: "9s"},
		Edit{Path: "/services/stock", Key: KeyDeadline, Value: "4s"},
		Edit{Path: "/services/stock/regions/muscat", Key: KeyDeadline, Value: "3s"},
	)
	tests := []struct{ path, value, from string }{
		{"/services/stock/regions/muscat/domains/muscat-a", "3s", "/services/stock/regions/muscat"},
		{"/services/stock/regions/sohar", "4s", "/services/stock"},
		{"/services/orders", "9s", "/"},
	}
	for _, tt := range tests {
		if v := tr.Get(tt.path, KeyDeadline); v.Value != tt.value || v.From != tt.from {
			t.Errorf("%s: %+v, want %s from %s", tt.path, v, tt.value, tt.from)
		}
	}
	if v := tr.Get("/services/stock", KeyQueue); v.Value != "16" || v.From != "" {
		t.Errorf("default: %+v", v)
	}
	unset := tr.Apply([]Edit{{Path: "/services/stock/regions/muscat", Key: KeyDeadline, Unset: true}}, 2)
	if v := unset.Get("/services/stock/regions/muscat", KeyDeadline); v.Value != "4s" {
		t.Errorf("after unset: %+v", v)
	}
	if v := tr.Get("/services/stock/regions/muscat", KeyDeadline); v.Value != "3s" {
		t.Errorf("the tree before Apply was changed: %+v", v)
	}
}

func TestCheckEditsRejects(t *testing.T) {
	tests := []struct {
		edit Edit
		want string
	}{
		{Edit{Path: "/service/stock", Key: KeyDeadline, Value: "2s"}, "no such place"},
		{Edit{Path: "/services/st ock", Key: KeyDeadline, Value: "2s"}, "must match"},
		{Edit{Path: "/services/stock", Key: "deadlin", Value: "2s"}, "unknown key"},
		{Edit{Path: "/services/stock", Key: KeyLatency, Value: "2s"}, "cannot stand"},
		{Edit{Path: "/services/stock", Key: KeyDeadline, Value: "soon"}, "not a duration"},
		{Edit{Path: "/services/stock", Key: KeyDeadline, Value: "1h"}, "from 10ms to 10m0s"},
		{Edit{Path: "/services/stock", Key: KeyAttempts, Value: "0"}, "out of bounds"},
		{Edit{Path: "/services/stock", Key: KeyRepeat, Value: "often"}, "safe, unsafe"},
		{Edit{Path: "/services/stock", Key: KeyShiftCap, Value: "NaN"}, "out of bounds"},
		{Edit{Path: "/services/stock", Key: KeyNotRunStatuses, Value: "200"}, "from 400 to 599"},
		{Edit{Path: "/blocks/b", Key: "10.0.0.1/8", Value: "muscat"}, "masked prefix"},
		{Edit{Path: "/blocks/b", Key: "2001:db8:0:0::/64", Value: "muscat"}, "usual form"},
		{Edit{Path: "/blocks/b", Key: "10.0.0.0/8", Value: ""}, "no region"},
		{Edit{Path: "/drains/d", Key: KeyStart, Value: "tonight"}, "not a time"},
		{Edit{Path: "/blocks/b", Key: "nonsense", Unset: true}, `/blocks/b: nonsense = "": not a masked prefix in its usual form; allowed: prefixes such as 10.1.0.0/16`},
		{Edit{Path: "/blocks/b", Key: "10.0.0.1/8", Unset: true}, `/blocks/b: 10.0.0.1/8 = "": not a masked prefix in its usual form; allowed: prefixes such as 10.1.0.0/16`},
	}
	for _, tt := range tests {
		errs := CheckEdits([]Edit{tt.edit})
		if len(errs) != 1 || !strings.Contains(errs[0].Error(), tt.want) {
			t.Errorf("%+v: %v, want %q", tt.edit, errs, tt.want)
		}
	}
}

func TestUnsetBlock(t *testing.T) {
	const path, key = "/blocks/b", "10.0.0.0/8"
	tr := apply(t, Edit{Path: path, Key: key, Value: "muscat"})
	unset := []Edit{{Path: path, Key: key, Unset: true}}
	if errs := CheckEdits(unset); len(errs) > 0 {
		t.Fatal(errs)
	}
	if s, ok := tr.Apply(unset, 2).SettingAt(path, key); !ok || !s.Unset {
		t.Errorf("after unset: %+v, written %v", s, ok)
	}
}

// drain returns the edits of a drain of a failure domain in region sohar.
func drain(name, domain, start, end string) []Edit {
	path := "/drains/" + name
	return []Edit{
		{Path: path, Key: KeyRegion, Value: "sohar"}, {Path: path, Key: KeyDomain, Value: domain},
		{Path: path, Key: KeyStart, Value: start}, {Path: path, Key: KeyEnd, Value: end},
	}
}

func TestDrainedDomains(t *testing.T) {
	const ten, eleven, twelve = "2026-12-02T10:00:00Z", "2026-12-02T11:00:00Z", "2026-12-02T12:00:00Z"
	tests := []struct {
		name   string
		second []Edit
		ok     bool
	}{
		{"overlapping", drain("two", "sohar-b", ten, twelve), false},
		{"one after the other", drain("two", "sohar-b", eleven, twelve), true},
		{"the same domain twice", drain("two", "sohar-a", ten, twelve), true},
		{"ends before it starts", drain("two", "sohar-a", twelve, ten), false},
	}
	for _, tt := range tests {
		tr := apply(t, append(drain("one", "sohar-a", ten, eleven), tt.second...)...)
		if errs := tr.Check(); (len(errs) == 0) != tt.ok {
			t.Errorf("%s: %v", tt.name, errs)
		}
	}
}

// move returns the edits of a move of service stock from muscat to sohar.
func move(name, fraction, duration string) []Edit {
	path := "/moves/" + name
	return []Edit{
		{Path: path, Key: KeyService, Value: "stock"}, {Path: path, Key: KeyFrom, Value: "muscat"}, {Path: path, Key: KeyTo, Value: "sohar"},
		{Path: path, Key: KeyFraction, Value: fraction}, {Path: path, Key: KeyDuration, Value: duration},
		{Path: path, Key: KeyStart, Value: "2026-12-02T10:00:00Z"},
	}
}

func TestShiftRules(t *testing.T) {
	tests := []struct {
		name  string
		edits []Edit
		ok    bool
	}{
		{"within cap and rate", move("a", "0.4", "10m"), true},
		{"beyond the cap", move("a", "0.6", "1h"), false},
		{"together beyond the cap", append(move("a", "0.3", "1h"), move("b", "0.3", "1h")...), false},
		{"too fast", move("a", "0.4", "1m"), false},
		{"together too fast", append(move("a", "0.2", "70s"), move("b", "0.2", "70s")...), false},
	}
	for _, tt := range tests {
		if errs := apply(t, tt.edits...).Check(); (len(errs) == 0) != tt.ok {
			t.Errorf("%s: %v", tt.name, errs)
		}
	}
	lowered := append(move("a", "0.4", "10m"), Edit{Path: "/services/stock", Key: KeyShiftCap, Value: "0.3"})
	if len(apply(t, lowered...).Check()) == 0 {
		t.Error("a shift cap below the share of a move is accepted")
	}
}

// TestMoveShare checks that the share of a move never decreases, never exceeds the
// linear schedule and ends at the move's fraction.
func TestMoveShare(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	params := gopter.DefaultTestParametersWithSeed(4)
	props := gopter.NewProperties(params)
	props.Property("share follows the schedule", prop.ForAll(func(fraction, step float64, minutes int) bool {
		m := Move{Start: start, Duration: time.Duration(minutes) * time.Minute, Fraction: fraction, Step: step}
		last := 0.0
		for s := -10; s < minutes*60+10; s += 7 {
			at := start.Add(time.Duration(s) * time.Second)
			share := m.Share(at)
			linear := fraction * min(1, max(0, float64(s)/float64(minutes*60)))
			if share < last || share > linear+epsilon {
				return false
			}
			last = share
		}
		return m.Share(start.Add(m.Duration)) == fraction
	}, gen.Float64Range(0.01, 1), gen.Float64Range(0.01, 0.5), gen.IntRange(1, 60)))
	props.TestingRun(t)
}

func TestParentOfEachKind(t *testing.T) {
	tests := map[string]string{
		"/services/s/regions/r/domains/d": "/services/s/regions/r",
		"/services/s/regions/r":           "/services/s",
		"/services/s":                     "/",
		"/links/a/b":                      "/links/a",
		"/drains/d":                       "/",
	}
	for path, want := range tests {
		if got, _ := Parent(path); got != want {
			t.Errorf("Parent(%s) = %s, want %s", path, got, want)
		}
	}
	if _, ok := Parent("/"); ok {
		t.Error("the root has a parent")
	}
}

func FuzzEdits(f *testing.F) {
	f.Add("/services/stock", "deadline", "2s")
	f.Add("/blocks/b", "10.0.0.0/8", "muscat")
	f.Fuzz(func(t *testing.T, path, key, value string) {
		edits := []Edit{{Path: path, Key: key, Value: value}}
		if len(CheckEdits(edits)) > 0 {
			return
		}
		tr := new(Tree).Apply(edits, 1)
		if s, ok := tr.SettingAt(path, key); !ok || s.Value != value {
			t.Errorf("%s: %s = %q is accepted, but SettingAt returns %+v", path, key, value, s)
		}
		tr.Check()
	})
}
