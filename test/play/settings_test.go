package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// write writes a settings file and returns its path.
func write(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "play.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestSettings reads a file that sets every key.
func TestSettings(t *testing.T) {
	s, err := load(write(t, "[play]\ndeployments = 3\nfirst_seed = 9\npolicies = hash, loomkeel\nloads = calm\n"))
	if err != nil || s.Deployments != 3 || s.FirstSeed != 9 || strings.Join(s.Policies, " ") != "hash loomkeel" || strings.Join(s.Loads, " ") != "calm" {
		t.Errorf("load returned %+v, error %v", s, err)
	}
}

// TestInvalidSettings expects key, value and allowed values of every fault in the error.
func TestInvalidSettings(t *testing.T) {
	_, err := load(write(t, "[play]\ndeployments = many\nfirst_seed = -1\npolicies = hash, luck\nspeed = 2\n[other]\nx = 1\n"))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{
		`deployments = "many"; allowed: whole numbers from 0 to 1000`, `first_seed = "-1"`,
		`policies = "luck"; allowed: hash, least-load, loomkeel, omniscient`, `speed = "2"; allowed: the keys deployments`, `[other]`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not contain %q", err, want)
		}
	}
}
