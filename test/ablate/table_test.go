package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTableFitsTheCode checks that every text to be replaced still stands in its
// file exactly once.
func TestTableFitsTheCode(t *testing.T) {
	for _, a := range ablations {
		b, err := os.ReadFile(filepath.Join("..", "..", a.file))
		if err != nil {
			t.Error(err)
			continue
		}
		texts := append([]string{a.old, a.new}, a.also...)
		for i := 0; i < len(texts); i += 2 {
			if n := strings.Count(string(b), texts[i]); n != 1 {
				t.Errorf("%s: %s holds the text %d times: %s", a.mechanism, a.file, n, texts[i])
			}
		}
	}
}
