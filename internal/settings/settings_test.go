package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// valid is the smallest valid file.
const valid = `[instance]
id = n1
region = muscat
domain = muscat-a
[platform]
address = http://127.0.0.1:7000
[agent]
peer = 127.0.0.1:7070
operator = 127.0.0.1:7071
[director]
listen = 127.0.0.1:8001
debug = 127.0.0.1:8002
[entry]
listen = 10.0.0.1:8000
debug = 127.0.0.1:8003
`

// load writes text to a file and loads it.
func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "x.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(file)
}

// TestDefaults checks the defaults of keys that the file does not set.
func TestDefaults(t *testing.T) {
	s, err := load(t, valid)
	if err != nil {
		t.Fatal(err)
	}
	if s.Entry.MaxInFlight != 4096 || s.Platform.Timeout.Seconds() != 2 {
		t.Errorf("defaults not applied: %+v", s)
	}
}

// TestLoadReportsEveryError checks the message for each kind of invalid setting, and that
// all errors of a file are returned at once.
func TestLoadReportsEveryError(t *testing.T) {
	tests := map[string]string{
		"[agent]\noperatr = x\n":                         "did you mean operator?",
		"[agnt]\nx = 1\n":                                "did you mean agent?",
		"[entry]\nroom = many\n":                         `room = "many": not a whole number; allowed: a whole number from 1 to 1000000`,
		"[entry]\nlinger = 2h\n":                         "out of bounds",
		"[agent]\npeer = localhost:7070\n":               "an IP address and port",
		"[agent]\noperator = 10.0.0.1:7071\n":            "token_file is not set",
		"[agent]\npeer = 10.0.0.1:7070\n":                "peer_ca is not set",
		"[tls]\ncert = x\n":                              "both or neither",
		"[entry]\ndebug = 10.0.0.1:1\n":                  "not on loopback",
		"[platform]\naddress = ftp://x\n":                "not a URL",
		"[agent]\nseeds = 127.0.0.1:1, nonsense\n":       "not an address",
		"[instance]\nid = " + strings.Repeat("x", 65):    "not a name",
		"[entry]\nlisten =\n":                            "[entry] listen: missing",
		"[entry]\nroom = 0\n[director]\ndebug = 1.2.3.4": "not an address",
	}
	for extra, want := range tests {
		_, err := load(t, valid+extra)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Load with %q returned error %v, want %q in it", extra, err, want)
		}
	}
	_, err := load(t, "[entry]\nroom = 0\n")
	if errs, ok := err.(ValidationErrors); !ok || len(errs) < 9 {
		t.Errorf("Load of a nearly empty file returned %d errors, want at least 9: %v", len(errs), err)
	}
}
