package tree

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Key describes one key of the tree.
type Key struct {
	Name    string
	Default string
	// Allowed says in words what values the key takes, with the unit.
	Allowed string
	Doc     string
	Kinds      []Kind
	check   func(string) error
}

var (
	atService = []Kind{KindRoot, KindService, KindServiceRegion, KindServiceDomain}
	atRegion  = []Kind{KindRoot, KindRegion}
	atLink    = []Kind{KindRoot, KindLinks, KindLink}
	atDrain   = []Kind{KindDrain}
	atMove    = []Kind{KindMove}
)

// Names of the keys.
const (
	KeyRepeat         = "repeat"
	KeyDeadline       = "deadline"
	KeyPriority       = "priority"
	KeyAttempts       = "attempts"
	KeyRetryBudget    = "retry_budget"
	KeyQueue          = "queue"
	KeyQueueWait      = "queue_wait"
	KeyNotRunStatuses = "not_run_statuses"
	KeyWarmup         = "warmup"
	KeyLookupLifetime       = "lookup_lifetime"
	KeyHosts          = "hosts"
	KeyOverflow       = "overflow"
	KeyShiftCap       = "shift_cap"
	KeyShiftRate      = "shift_rate"
	KeyMaxInFlight    = "max_in_flight"
	KeyCapFloor       = "cap_floor"
	KeyCapSeats       = "cap_seats"
	KeyMaxDrainedDomains = "max_drained_domains"
	KeyWeight         = "weight"
	KeyLatency        = "latency"
	KeyService        = "service"
	KeyRegion         = "region"
	KeyDomain         = "domain"
	KeyUpstream       = "upstream"
	KeyStart          = "start"
	KeyEnd            = "end"
	KeyFrom           = "from"
	KeyTo             = "to"
	KeyDuration       = "duration"
	KeyFraction       = "fraction"
	KeyStep           = "step"
)

// Values of KeyRepeat.
const (
	RepeatSafe     = "safe"
	RepeatUnsafe   = "unsafe"
	RepeatByMethod = "by-method"
)

// Keys lists every key but those of /blocks/NAME, which are prefixes.
var Keys = []Key{
	choice(KeyRepeat, RepeatByMethod, []string{RepeatSafe, RepeatUnsafe, RepeatByMethod}, atService,
		"Whether a request that may have run can be repeated; by-method means only GET and HEAD."),
	duration(KeyDeadline, "5s", 10*time.Millisecond, 10*time.Minute, atService,
		"How long a request may take when the caller names no deadline; also the longest it may name."),
	integer(KeyPriority, "5", 0, 9, atService, "Which service is refused first under overload; the lowest goes first."),
	integer(KeyAttempts, "3", 1, 5, atService, "How many upstreams a request may be tried at."),
	fraction(KeyRetryBudget, "0.1", atService, "Retries allowed as a share of recent successes."),
	integer(KeyQueue, "16", 0, 10000, atService, "How many requests may wait for a slot at one entry."),
	duration(KeyQueueWait, "50ms", 0, 10*time.Second, atService, "How long a request may wait for a slot."),
	list(KeyNotRunStatuses, "429", "HTTP statuses from 400 to 599, separated by commas", checkStatus, atService,
		"Statuses by which an upstream says that it did not run the request."),
	duration(KeyWarmup, "30s", 0, time.Hour, atService, "How long an upstream that is new gets a rising share."),
	duration(KeyLookupLifetime, "10s", time.Second, 5*time.Minute, atService, "How long a caller may use a look-up answer."),
	list(KeyHosts, "", "host names, separated by commas", checkWord, []Kind{KindService},
		"Host names by which a request names the service."),
	list(KeyOverflow, "", "regions in order, separated by commas; empty means the eight nearest by latency", checkName,
		[]Kind{KindRoot, KindService, KindServiceRegion},
		"Regions that may take requests when the own region has no free slot."),
	fraction(KeyShiftCap, "0.5", []Kind{KindRoot, KindService}, "Largest share of a region's traffic that moves may shift."),
	fraction(KeyShiftRate, "0.2", []Kind{KindRoot, KindService}, "Largest share of a region's traffic that moves may shift in a minute."),
	integer(KeyMaxInFlight, "0", 0, 1<<30, []Kind{KindRoot, KindService, KindServiceRegion},
		"Cap on requests in flight at a service's upstreams in a region; 0 means none but their slots."),
	fraction(KeyCapFloor, "0.5", atRegion, "Share of each cap that the region's instances keep while the key-value service is away."),
	integer(KeyCapSeats, "8", 1, 10000, atRegion,
		"Instances among which that share is divided: those of the region, and the ones replaced within a day."),
	integer(KeyMaxDrainedDomains, "1", 0, 100, atRegion, "How many failure domains of a region may be drained at one time."),
	number(KeyWeight, "1", 0, 1000, []Kind{KindRoot, KindRegion, KindDomain}, "Weight of the place's entries in look-ups."),
	duration(KeyLatency, "35ms", 0, 10*time.Second, atLink, "One-way latency of the link."),
	{Name: KeyService, Allowed: "a service", Doc: "The service that the drain or move is for; a drain without one is for all.",
		Kinds: []Kind{KindDrain, KindMove}, check: checkName},
	word(KeyRegion, "a region", atDrain, "The region that is drained."),
	word(KeyDomain, "a failure domain", atDrain, "The failure domain that is drained."),
	word(KeyUpstream, "an upstream's id", atDrain, "The upstream that is drained."),
	{Name: KeyStart, Allowed: "a time as in 2026-12-02T22:00:00Z", Doc: "When the drain or move begins.",
		Kinds: []Kind{KindDrain, KindMove}, check: checkTime},
	{Name: KeyEnd, Allowed: "a time as in 2026-12-02T23:00:00Z", Doc: "When the drain ends; without one it lasts until it is removed.",
		Kinds: atDrain, check: checkTime},
	word(KeyFrom, "a region", atMove, "The region that traffic leaves."),
	word(KeyTo, "a region", atMove, "The region that takes the traffic."),
	duration(KeyDuration, "10m", 0, 24*time.Hour, atMove, "How long the move takes from nothing to its whole share."),
	fraction(KeyFraction, "0.1", atMove, "The share of the region's traffic that is moved in the end."),
	fraction(KeyStep, "0.05", atMove, "The size of one step of the move, as a share of the region's traffic."),
}

var keyByName = func() map[string]*Key {
	m := make(map[string]*Key, len(Keys))
	for i := range Keys {
		m[Keys[i].Name] = &Keys[i]
	}
	return m
}()

// ValueError reports a key or value that may not stand at a path.
type ValueError struct {
	Path, Key, Value string
	Reason           string
	Allowed          string
}

// Error implements error.
func (e *ValueError) Error() string {
	s := fmt.Sprintf("%s: %s = %q: %s", e.Path, e.Key, e.Value, e.Reason)
	if e.Allowed != "" {
		s += "; allowed: " + e.Allowed
	}
	return s
}

// CheckValue reports whether key may stand at path with value.
func CheckValue(path, key, value string) error {
	kind, _, err := ParsePath(path)
	if err != nil {
		return err
	}
	if kind == KindBlocks {
		return checkBlock(path, key, value)
	}
	k, err := checkKey(kind, path, key)
	if err != nil {
		return err
	}
	if err := k.check(value); err != nil {
		return &ValueError{path, key, value, err.Error(), k.Allowed}
	}
	return nil
}

// CheckQuery reports whether key may be asked for at path: it may stand there, or
// somewhere up the tree.
func CheckQuery(path, key string) error {
	kind, _, err := ParsePath(path)
	if err != nil || kind == KindBlocks {
		return err
	}
	if keyByName[key] == nil {
		return &ValueError{Path: path, Key: key, Reason: "unknown key", Allowed: strings.Join(keysAt(kind), ", ")}
	}
	return nil
}

func checkKey(kind Kind, path, key string) (*Key, error) {
	k := keyByName[key]
	if k != nil && slices.Contains(k.Kinds, kind) {
		return k, nil
	}
	reason := "unknown key"
	if k != nil {
		reason = "the key cannot stand at this path"
	}
	return nil, &ValueError{Path: path, Key: key, Reason: reason, Allowed: strings.Join(keysAt(kind), ", ")}
}

func keysAt(kind Kind) []string {
	var names []string
	for _, k := range Keys {
		if slices.Contains(k.Kinds, kind) {
			names = append(names, k.Name)
		}
	}
	sort.Strings(names)
	return names
}

func checkBlock(path, key, value string) error {
	p, err := netip.ParsePrefix(key)
	if err != nil || p.Masked().String() != key {
		return &ValueError{path, key, value, "not a masked prefix in its usual form", "prefixes such as 10.1.0.0/16"}
	}
	if value == "" {
		return &ValueError{path, key, value, "no region", "regions in order, separated by commas"}
	}
	return eachOf(value, checkName)
}

func duration(name, def string, lo, hi time.Duration, at []Kind, doc string) Key {
	allowed := fmt.Sprintf("a duration from %v to %v", lo, hi)
	return Key{name, def, allowed, doc, at, func(s string) error {
		d, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("not a duration")
		}
		if d < lo || d > hi {
			return fmt.Errorf("out of bounds")
		}
		return nil
	}}
}

func number(name, def string, lo, hi float64, at []Kind, doc string) Key {
	allowed := fmt.Sprintf("a number from %g to %g", lo, hi)
	return Key{name, def, allowed, doc, at, func(s string) error {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return fmt.Errorf("not a number")
		}
		if !(f >= lo && f <= hi) {
			return fmt.Errorf("out of bounds")
		}
		return nil
	}}
}

func integer(name, def string, lo, hi int, at []Kind, doc string) Key {
	allowed := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	return Key{name, def, allowed, doc, at, func(s string) error {
		n, err := strconv.Atoi(s)
		if err != nil {
			return fmt.Errorf("not a whole number")
		}
		if n < lo || n > hi {
			return fmt.Errorf("out of bounds")
		}
		return nil
	}}
}

func fraction(name, def string, at []Kind, doc string) Key { return number(name, def, 0, 1, at, doc) }

func word(name, allowed string, at []Kind, doc string) Key {
	return Key{Name: name, Allowed: allowed, Doc: doc, Kinds: at, check: checkName}
}

func choice(name, def string, words []string, at []Kind, doc string) Key {
	return Key{name, def, "one of " + strings.Join(words, ", "), doc, at, func(s string) error {
		if !slices.Contains(words, s) {
			return fmt.Errorf("not one of the words")
		}
		return nil
	}}
}

func list(name, def, allowed string, item func(string) error, at []Kind, doc string) Key {
	return Key{name, def, allowed, doc, at, func(s string) error { return eachOf(s, item) }}
}

func eachOf(s string, check func(string) error) error {
	for _, item := range SplitList(s) {
		if err := check(item); err != nil {
			return err
		}
	}
	return nil
}

// SplitList splits a value at its commas and trims the items.
func SplitList(s string) []string {
	if strings.TrimSpace(s) == "" {
		return nil
	}
	items := strings.Split(s, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

func checkName(s string) error {
	if !nameRE.MatchString(s) {
		return fmt.Errorf("not a name that matches %s", nameRE)
	}
	return nil
}

func checkWord(s string) error {
	if s == "" || len(s) > 255 || strings.ContainsAny(s, " \t\r\n/") {
		return fmt.Errorf("not a host name")
	}
	return nil
}

func checkStatus(s string) error {
	n, err := strconv.Atoi(s)
	if err != nil || n < 400 || n > 599 {
		return fmt.Errorf("not a status from 400 to 599")
	}
	return nil
}

func checkTime(s string) error {
	if _, err := time.Parse(time.RFC3339, s); err != nil {
		return fmt.Errorf("not a time")
	}
	return nil
}
