package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/loomkeel/loomkeel/internal/sim"
)

const (
	// maxDeployments limits the random deployments of one run; 1,000 take some minutes.
	maxDeployments = 1000
	// maxSeed limits the first seed.
	maxSeed = 1 << 30
)

// settings holds what to simulate.
type settings struct {
	// Deployments is the number of random deployments. Their seeds count up from FirstSeed.
	Deployments int
	FirstSeed   int
	Policies    []string
	// Loads are the names of the loads to simulate besides.
	Loads []string
}

// load reads a settings file. An empty path returns the defaults. The error joins all
// faults, each with file, key, value and the allowed values.
func load(path string) (settings, error) {
	s := settings{Deployments: 40, FirstSeed: 1, Policies: names(sim.Policies), Loads: names(sim.Scenarios)}
	if path == "" {
		return s, nil
	}
	f, err := ini.Load(path)
	if err != nil {
		return s, err
	}
	r := reader{path: path, section: f.Section("play")}
	for _, section := range f.Sections() {
		if name := section.Name(); name != "play" && len(section.Keys()) > 0 {
			r.fault("["+name+"]", "", "the section [play]")
		}
	}
	s.Deployments = r.number("deployments", s.Deployments, 0, maxDeployments)
	s.FirstSeed = r.number("first_seed", s.FirstSeed, 0, maxSeed)
	s.Policies = r.list("policies", s.Policies, names(sim.Policies))
	s.Loads = r.list("loads", s.Loads, names(sim.Scenarios))
	for _, key := range r.section.KeyStrings() {
		if !slices.Contains(r.known, key) {
			r.fault(key, r.section.Key(key).String(), "the keys "+strings.Join(r.known, ", "))
		}
	}
	return s, errors.Join(r.faults...)
}

// reader reads the keys of a section and collects the known keys and all faults.
type reader struct {
	path    string
	section *ini.Section
	known   []string
	faults  []error
}

// fault records that a key has a value that is not allowed.
func (r *reader) fault(key, value, allowed string) {
	r.faults = append(r.faults, fmt.Errorf("%s: %s = %q; allowed: %s", r.path, key, value, allowed))
}

// number returns the value of a key, which must be from least to most, or fallback if the
// key is missing.
func (r *reader) number(key string, fallback, least, most int) int {
	r.known = append(r.known, key)
	if !r.section.HasKey(key) {
		return fallback
	}
	n, err := r.section.Key(key).Int()
	if err != nil || n < least || n > most {
		r.fault(key, r.section.Key(key).String(), fmt.Sprintf("whole numbers from %d to %d", least, most))
	}
	return n
}

// list returns the comma-separated values of a key, each of which must be in allowed, or
// fallback if the key is missing.
func (r *reader) list(key string, fallback, allowed []string) []string {
	r.known = append(r.known, key)
	if !r.section.HasKey(key) {
		return fallback
	}
	list := r.section.Key(key).Strings(",")
	for _, name := range list {
		if !slices.Contains(allowed, name) {
			r.fault(key, name, strings.Join(allowed, ", "))
		}
	}
	return list
}
