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

// ValidationError describes one invalid section, key or value of a settings file.
type ValidationError struct {
	// File is the path of the settings file. Section, Key and Value are empty where the
	// error does not concern one.
	File, Section, Key, Value string
	// Reason says why the value, key or section is invalid.
	Reason string
	// Allowed describes the valid values, keys or sections; empty if unknown.
	Allowed string
	// Suggestion is the known section or key closest to an unknown one, or empty.
	Suggestion string
}

// Error returns one line with the file, section, key, value, reason, valid values and
// suggestion.
func (e ValidationError) Error() string {
	s := fmt.Sprintf("%s: [%s]", e.File, e.Section)
	if e.Key != "" {
		s += " " + e.Key
	}
	if e.Value != "" {
		s += fmt.Sprintf(" = %q", e.Value)
	}
	s += ": " + e.Reason
	if e.Allowed != "" {
		s += "; allowed: " + e.Allowed
	}
	if e.Suggestion != "" {
		s += "; did you mean " + e.Suggestion + "?"
	}
	return s
}

// ValidationErrors holds all errors of a settings file.
type ValidationErrors []ValidationError

// Error returns the errors, one per line.
func (es ValidationErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads an INI file, applies the defaults and validates the values. The error is of type
// ValidationErrors. It holds every error found, or only the error of reading or parsing the
// file.
func Load(file string) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false}, file)
	if err != nil {
		return nil, ValidationErrors{{File: file, Section: "", Reason: err.Error()}}
	}
	s := new(Settings)
	l := loader{file: file, ini: f}
	l.load(reflect.ValueOf(s).Elem())
	l.checkDependencies(s)
	if len(l.errs) > 0 {
		return nil, l.errs
	}
	return s, nil
}

// loader fills a Settings from a parsed file and collects the validation errors.
type loader struct {
	file string
	ini  *ini.File
	errs ValidationErrors
}

// addError records an invalid value and the values allowed in its place.
func (l *loader) addError(section, key, value, reason, allowed string) {
	l.errs = append(l.errs, ValidationError{l.file, section, key, value, reason, allowed, ""})
}

// load fills every section of the settings in v and reports unknown sections.
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
			l.errs = append(l.errs, ValidationError{File: l.file, Section: s.Name(), Reason: "unknown section",
				Allowed: strings.Join(sections, ", "), Suggestion: nearest(s.Name(), sections)})
		}
	}
}

// loadSection fills the fields of v from a section and reports unknown keys.
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
			l.errs = append(l.errs, ValidationError{File: l.file, Section: name, Key: k.Name(), Value: k.Value(), Reason: "unknown key",
				Allowed: strings.Join(known, ", "), Suggestion: nearest(k.Name(), known)})
		}
	}
}

// loadKey sets v from a key of the section, or from the default in the field's tag.
func (l *loader) loadKey(section, key string, s *ini.Section, f reflect.StructField, v reflect.Value) {
	text := f.Tag.Get("default")
	if s.HasKey(key) {
		text = s.Key(key).Value()
	}
	if text == "" {
		if f.Tag.Get("required") == "true" {
			l.addError(section, key, "", "missing", AllowedValues(f))
		}
		return
	}
	if err := parseField(f, v, text); err != nil {
		l.addError(section, key, text, err.Error(), AllowedValues(f))
	}
}

// parseField parses text into v and checks it against the tags of the field f.
func parseField(f reflect.StructField, v reflect.Value, text string) error {
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

// namePattern matches a valid name: at most 64 characters, the first a letter or digit.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// checkForm checks text against the form tag of a field.
func checkForm(form, text string) error {
	switch form {
	case "name":
		if !namePattern.MatchString(text) {
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

// AllowedValues describes the values that a field of a section accepts, for error messages
// and documentation.
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

// checkDependencies checks the rules that involve several keys, and that the debug
// addresses are on loopback.
func (l *loader) checkDependencies(s *Settings) {
	if s.Agent.TokenFile == "" && !IsLoopback(s.Agent.OperatorAddress) {
		l.addError("agent", "operator", s.Agent.OperatorAddress, "not on loopback, and token_file is not set", "a loopback address, or a token_file")
	}
	if s.TLS.PeerCAFile == "" && !IsLoopback(s.Agent.PeerAddress) {
		l.addError("agent", "peer", s.Agent.PeerAddress, "not on loopback, and [tls] peer_ca is not set", "a loopback address, or peer certificates")
	}
	if (s.TLS.CertFile == "") != (s.TLS.KeyFile == "") {
		l.addError("tls", "cert", s.TLS.CertFile, "cert and key must be set together", "both or neither")
	}
	if s.TLS.PeerCAFile != "" && s.TLS.CertFile == "" {
		l.addError("tls", "peer_ca", s.TLS.PeerCAFile, "peer_ca requires cert and key", "peer_ca together with cert and key")
	}
	for section, addr := range map[string]string{"director": s.Director.DebugAddress, "entry": s.Entry.DebugAddress} {
		if !IsLoopback(addr) {
			l.addError(section, "debug", addr, "not on loopback", "a loopback address")
		}
	}
}

// IsLoopback reports whether the address host:port has a loopback IP address as its host. It
// also returns true for an empty address.
func IsLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr == ""
	}
	ip, err := netip.ParseAddr(host)
	return err == nil && ip.IsLoopback()
}

// maxDistance is the largest edit distance at which a known name is suggested for an unknown
// one.
const maxDistance = 3

// nearest returns the name with the smallest edit distance to name, or an empty string if
// every distance is above maxDistance.
func nearest(name string, names []string) string {
	best, bestDistance := "", maxDistance+1
	for _, n := range names {
		if d := distance(name, n); d < bestDistance {
			best, bestDistance = n, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of a and b in bytes.
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
