// Command ablate shows that each proof depends on the mechanism that it is for:
// in a copy of the tree it switches one mechanism off at a time and runs the
// proof, which must then fail.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// ablation switches one mechanism off.
type ablation struct {
	mechanism string
	file      string
	// old stands in the file exactly once and is replaced by new.
	old, new string
	pkg      string
	test     string
	// also are more texts of the file with their replacements, in pairs.
	also []string
}

// limit bounds one run of a proof; a run that hangs counts as failed.
const limit = 3 * time.Minute

func main() {
	only := flag.String("only", "", "regular expression for the mechanisms to switch off")
	flag.Parse()
	if err := run(regexp.MustCompile(*only)); err != nil {
		fmt.Fprintln(os.Stderr, "ablate:", err)
		os.Exit(1)
	}
}

func run(only *regexp.Regexp) error {
	dir, err := os.MkdirTemp("", "loomkeel-ablate-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := os.CopyFS(dir, os.DirFS(".")); err != nil {
		return err
	}
	fmt.Println("| mechanism switched off | proof | outcome |\n| --- | --- | --- |")
	passed := 0
	for _, a := range ablations {
		if !only.MatchString(a.mechanism) {
			continue
		}
		failed, err := a.try(dir)
		if err != nil {
			return fmt.Errorf("%s: %w", a.mechanism, err)
		}
		outcome := "fails, as it must"
		if !failed {
			outcome = "PASSES: the proof does not depend on the mechanism"
			passed++
		}
		fmt.Printf("| %s | %s %s | %s |\n", a.mechanism, a.pkg, a.test, outcome)
	}
	if passed > 0 {
		return fmt.Errorf("%d proofs pass without their mechanism", passed)
	}
	return nil
}

// try reports whether the proof fails without the mechanism.
func (a ablation) try(dir string) (failed bool, err error) {
	file := filepath.Join(dir, a.file)
	whole, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	changed := string(whole)
	texts := append([]string{a.old, a.new}, a.also...)
	for i := 0; i < len(texts); i += 2 {
		if n := strings.Count(changed, texts[i]); n != 1 {
			return false, fmt.Errorf("%s holds the text %d times, want once: %s", a.file, n, texts[i])
		}
		changed = strings.Replace(changed, texts[i], texts[i+1], 1)
	}
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		return false, err
	}
	defer os.WriteFile(file, whole, 0o600)
	if out, err := command(dir, "go", "build", "./..."); err != nil {
		return false, fmt.Errorf("does not build: %s", out)
	}
	_, err = command(dir, "go", "test", "-count=1", "-run", a.test, a.pkg)
	return err != nil, nil
}

func command(dir string, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}
