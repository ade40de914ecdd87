package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// ValidationError is one thing wrong with a settings file.
type ValidationError struct {
	File, Section, Key, Value string
	Reason                    string
	Allowed                   string
	// Suggestion is the known name closest to a misspelt one.
	Suggestion string
}

// Error implements error.
func (f ValidationError) Error() string {
	s := fmt.Sprintf("%s: [%s]", f.File, f.Section)
	if f.Key != "" {
		s += " " + f.Key
	}
	if f.Value != "" {
		s += fmt.Sprintf(" = %q", f.Value)
	}
	s += ": " + f.Reason
	if f.Allowed != "" {
		s += "; allowed: " + f.Allowed
	}
	if f.Suggestion != "" {
		s += "; did you mean " + f.Suggestion + "?"
	}
	return s
}

// ValidationErrors are all that is wrong with a settings file.
type ValidationErrors []ValidationError

// Error implements error.
func (fs ValidationErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads a file. Its error is of type Faults.
func Load(file string) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, file)
	if err != nil {
		return nil, ValidationErrors{{File: file, Section: "", Reason: err.Error()}}
	}
	s := new(Settings)
	l := loader{file: file, ini: f}
	l.load(reflect.ValueOf(s).Elem())
	l.checkTogether(s)
	if len(l.faults) > 0 {
		return nil, l.faults
	}
	return s, nil
}

type loader struct {
	file   string
	ini    *ini.File
	faults ValidationErrors
}

func (l *loader) fault(section, key, value, reason, allowed string) {
	l.faults = append(l.faults, ValidationError{l.file, section, key, value, reason, allowed, ""})
}

func (l *loader) load(v reflect.Value) {
	var sections []string
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("ini")
		sections = append(sections, name)
		l.loadSection(name, v.Field(i))
	}
	for _, s := range l.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if !slices.Contains(sections, s.Name()) {
			l.faults = append(l.faults, ValidationError{File: l.file, Section: s.Name(), Reason: "unknown section",
				Allowed: strings.Join(sections, ", "), Suggestion: nearest(s.Name(), sections)})
		}
	}
}

func (l *loader) loadSection(name string, v reflect.Value) {
	section := l.ini.Section(name)
	var known []string
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get("ini")
		known = append(known, key)
		l.loadKey(name, key, section, f, v.Field(i))
	}
	for _, k := range section.Keys() {
		if !slices.Contains(known, k.Name()) {
			l.faults = append(l.faults, ValidationError{File: l.file, Section: name, Key: k.Name(), Value: k.Value(), Reason: "unknown key",
				Allowed: strings.Join(known, ", "), Suggestion: nearest(k.Name(), known)})
		}
	}
}

func (l *loader) loadKey(section, key string, s *ini.Section, f reflect.StructField, v reflect.Value) {
	text := f.Tag.Get("default")
	if s.HasKey(key) {
		text = s.Key(key).Value()
	}
	if text == "" {
		if f.Tag.Get("required") == "true" {
			l.fault(section, key, "", "missing", AllowedValues(f))
		}
		return
	}
	if err := set(f, v, text); err != nil {
		l.fault(section, key, text, err.Error(), AllowedValues(f))
	}
}

// set parses text into a field.
func set(f reflect.StructField, v reflect.Value, text string) error {
	switch p := v.Addr().Interface().(type) {
	case *string:
		*p = text
		return checkForm(f.Tag.Get("form"), text)
	case *[]string:
		for item := range strings.SplitSeq(text, ",") {
			item = strings.TrimSpace(item)
			if err := checkForm(f.Tag.Get("form"), item); err != nil {
				return err
			}
			*p = append(*p, item)
		}
	case *int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("not a whole number")
		}
		lo, _ := strconv.Atoi(f.Tag.Get("min"))
		hi, _ := strconv.Atoi(f.Tag.Get("max"))
		if n < lo || n > hi {
			return fmt.Errorf("out of bounds")
		}
		*p = n
	case *time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("not a duration")
		}
		lo, _ := time.ParseDuration(f.Tag.Get("min"))
		hi, _ := time.ParseDuration(f.Tag.Get("max"))
		if d < lo || d > hi {
			return fmt.Errorf("out of bounds")
		}
		*p = d
	default:
		panic("settings: field of unknown type " + f.Type.String())
	}
	return nil
}

var nameRE = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

func checkForm(form, text string) error {
	switch form {
	case "name":
		if !nameRE.MatchString(text) {
			return fmt.Errorf("not a name")
		}
	case "address":
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("not an address")
		}
	case "url":
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return fmt.Errorf("not a URL")
		}
	}
	return nil
}

// AllowedValues says in words what values a field takes.
func AllowedValues(f reflect.StructField) string {
	words := map[string]string{
		"name":    "letters, digits, dot, dash and underscore, at most 64",
		"address": "an IP address and port, as in 10.0.0.5:7000",
		"url":     "http://HOST:PORT or https://HOST:PORT",
		"":        "a file name",
	}
	switch f.Type {
	case reflect.TypeFor[int]():
		return fmt.Sprintf("a whole number from %s to %s", f.Tag.Get("min"), f.Tag.Get("max"))
	case reflect.TypeFor[time.Duration]():
		return fmt.Sprintf("a duration from %s to %s", f.Tag.Get("min"), f.Tag.Get("max"))
	case reflect.TypeFor[[]string]():
		return words[f.Tag.Get("form")] + ", several separated by commas"
	}
	return words[f.Tag.Get("form")]
}

// checkTogether checks what binds several keys.
func (l *loader) checkTogether(s *Settings) {
	if s.Agent.TokenFile == "" && !IsLoopback(s.Agent.OperatorAddress) {
		l.fault("agent", "operator", s.Agent.OperatorAddress, "not on loopback, and there is no token_file", "a loopback address, or a token_file")
	}
	if s.TLS.PeerCAFile == "" && !IsLoopback(s.Agent.PeerAddress) {
		l.fault("agent", "peer", s.Agent.PeerAddress, "not on loopback, and [tls] peer_ca is not set", "a loopback address, or peer certificates")
	}
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		l.fault("tls", "cert", s.TLS.CertFile, "cert and key go together", "both or neither")
	}
	if s.TLS.PeerCAFile != "" && s.TLS.CertFile == "" {
		l.fault("tls", "peer_ca", s.TLS.PeerCAFile, "peers need cert and key", "cert and key beside it")
	}
	for section, addr := range map[string]string{"director": s.Director.DebugAddress, "entry": s.Entry.DebugAddress} {
		if !IsLoopback(addr) {
			l.fault(section, "debug", addr, "not on loopback", "a loopback address")
		}
	}
}

// IsLoopback reports whether an address is on loopback, or empty.
func IsLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr == ""
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}

// maxDistance is how many letters a misspelt name may differ by to be guessed.
const maxDistance = 3

// nearest returns the name with the smallest edit distance, if small enough.
func nearest(name string, names []string) string {
	best, at := "", maxDistance+1
	for _, n := range names {
		if d := distance(name, n); d < at {
			best, at = n, d
		}
	}
	return best
}

// distance is the Levenshtein distance.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(diagonal+cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
