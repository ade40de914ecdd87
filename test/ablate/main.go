// Command ablate checks that tests depend on the mechanism that they are for. In
// a copy of the source tree it switches off one mechanism at a time by replacing
// text in a file, and runs the tests of this mechanism, which must then fail.
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

// ablation is one mechanism, the change that switches it off, and the tests that must fail
// then.
type ablation struct {
	mechanism string
	file      string
	// old is a text that the file contains exactly once. It is replaced by new.
	old, new string
	// pkg is the package of the tests, test the regular expression on their names.
	pkg  string
	test string
	// also has further texts of the file and their replacements, in turn.
	also []string
}

// commandTimeout limits one build or run of tests. Tests that hang count as failed.
const commandTimeout = 3 * time.Minute

func main() {
	only := flag.String("only", "", "regular expression for the mechanisms to switch off")
	flag.Parse()
	if err := run(regexp.MustCompile(*only)); err != nil {
		fmt.Fprintln(os.Stderr, "ablate:", err)
		os.Exit(1)
	}
}

// run tries every ablation whose mechanism matches only and prints a table. It returns an
// error if tests pass without their mechanism.
func run(only *regexp.Regexp) error {
	dir, err := os.MkdirTemp("", "loomkeel-ablate-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := os.CopyFS(dir, os.DirFS(".")); err != nil {
		return err
	}
	fmt.Println("| mechanism switched off | tests | outcome |\n| --- | --- | --- |")
	passed := 0
	for _, a := range ablations {
		if !only.MatchString(a.mechanism) {
			continue
		}
		failed, err := a.testsFail(dir)
		if err != nil {
			return fmt.Errorf("%s: %w", a.mechanism, err)
		}
		outcome := "fails, as it must"
		if !failed {
			outcome = "PASSES: the tests do not depend on the mechanism"
			passed++
		}
		fmt.Printf("| %s | %s %s | %s |\n", a.mechanism, a.pkg, a.test, outcome)
	}
	if passed > 0 {
		return fmt.Errorf("the tests of %d mechanisms pass without them", passed)
	}
	return nil
}

// testsFail switches the mechanism off in the tree in dir, reports whether the tests fail,
// and restores the file. The changed tree must build.
func (a ablation) testsFail(dir string) (failed bool, err error) {
	file := filepath.Join(dir, a.file)
	original, err := os.ReadFile(file)
	if err != nil {
		return false, err
	}
	changed := string(original)
	texts := append([]string{a.old, a.new}, a.also...)
	for i := 0; i < len(texts); i += 2 {
		if n := strings.Count(changed, texts[i]); n != 1 {
			return false, fmt.Errorf("%s contains the text %d times, want once: %s", a.file, n, texts[i])
		}
		changed = strings.Replace(changed, texts[i], texts[i+1], 1)
	}
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		return false, err
	}
	defer os.WriteFile(file, original, 0o600)
	if out, err := runCommand(dir, "go", "build", "./..."); err != nil {
		return false, fmt.Errorf("the changed tree does not build: %s", out)
	}
	_, err = runCommand(dir, "go", "test", "-count=1", "-run", a.test, a.pkg)
	return err != nil, nil
}

// runCommand runs a command in dir and returns its output.
func runCommand(dir string, name string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	return string(out), err
}
