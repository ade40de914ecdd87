package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTableMatchesSource checks that each file contains every text to be replaced exactly
// once.
func TestTableMatchesSource(t *testing.T) {
	for _, a := range ablations {
		b, err := os.ReadFile(filepath.Join("..", "..", a.file))
		if err != nil {
			t.Error(err)
			continue
		}
		texts := append([]string{a.old, a.new}, a.also...)
		for i := 0; i < len(texts); i += 2 {
			if n := strings.Count(string(b), texts[i]); n != 1 {
				t.Errorf("%s: %s contains the text %d times, want once: %s", a.mechanism, a.file, n, texts[i])
			}
		}
	}
}
