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

// Key describes one key of the tree: its default, its allowed values and the paths
// at which it can be set.
type Key struct {
	Name    string
	Default string
	// Allowed describes the allowed values and their unit in words.
	Allowed string
	// Doc describes the meaning of the key in the generated documentation.
	Doc string
	// Kinds lists the kinds of paths at which the key can be set.
	Kinds []Kind
	check func(string) error
}

// Lists of kinds that several keys share.
var (
	serviceKinds = []Kind{KindRoot, KindService, KindServiceRegion, KindServiceDomain}
	regionKinds  = []Kind{KindRoot, KindRegion}
	linkKinds    = []Kind{KindRoot, KindLinks, KindLink}
	drainKinds   = []Kind{KindDrain}
	moveKinds    = []Kind{KindMove}
)

// Names of the keys. Their meaning is described in Keys.
const (
	KeyRepeat            = "repeat"
	KeyDeadline          = "deadline"
	KeyPriority          = "priority"
	KeyAttempts          = "attempts"
	KeyRetryBudget       = "retry_budget"
	KeyQueue             = "queue"
	KeyQueueWait         = "queue_wait"
	KeyNotRunStatuses    = "not_run_statuses"
	KeyWarmup            = "warmup"
	KeyLookupLifetime    = "lookup_lifetime"
	KeyHosts             = "hosts"
	KeyOverflow          = "overflow"
	KeyShiftCap          = "shift_cap"
	KeyShiftRate         = "shift_rate"
	KeyMaxInFlight       = "max_in_flight"
	KeyCapFloor          = "cap_floor"
	KeyCapSeats          = "cap_seats"
	KeyMaxDrainedDomains = "max_drained_domains"
	KeyWeight            = "weight"
	KeyLatency           = "latency"
	KeyService           = "service"
	KeyRegion            = "region"
	KeyDomain            = "domain"
	KeyUpstream          = "upstream"
	KeyStart             = "start"
	KeyEnd               = "end"
	KeyFrom              = "from"
	KeyTo                = "to"
	KeyDuration          = "duration"
	KeyFraction          = "fraction"
	KeyStep              = "step"
)

// Values of KeyRepeat: whether a request of the service is safe to repeat.
const (
	RepeatSafe     = "safe"
	RepeatUnsafe   = "unsafe"
	RepeatByMethod = "by-method"
)

// Keys lists all keys except those at /blocks/NAME, which are IP prefixes.
var Keys = []Key{
	enumKey(KeyRepeat, RepeatByMethod, []string{RepeatSafe, RepeatUnsafe, RepeatByMethod}, serviceKinds,
		"Whether a request that may have been executed can be sent again; by-method allows it for GET and HEAD only."),
	durationKey(KeyDeadline, "5s", 10*time.Millisecond, 10*time.Minute, serviceKinds,
		"Longest time for a request: the default if the caller sends no deadline, and the upper limit if it sends one."),
	integerKey(KeyPriority, "5", 0, 9, serviceKinds, "Priority under overload: requests of the service with the lowest value are refused first."),
	integerKey(KeyAttempts, "3", 1, 5, serviceKinds, "Largest number of upstreams to which a request is sent."),
	fractionKey(KeyRetryBudget, "0.1", serviceKinds, "Largest number of retries as a share of recent successful requests."),
	integerKey(KeyQueue, "16", 0, 10000, serviceKinds, "Largest number of requests that wait for a slot at one entry."),
	durationKey(KeyQueueWait, "50ms", 0, 10*time.Second, serviceKinds, "Longest time that a request waits for a slot."),
	listKey(KeyNotRunStatuses, "429", "HTTP statuses from 400 to 599, separated by commas", checkStatus, serviceKinds,
		"HTTP statuses with which an upstream reports that it did not execute the request."),
	durationKey(KeyWarmup, "30s", 0, time.Hour, serviceKinds, "Time in which the share of a new upstream rises to its full share."),
	durationKey(KeyLookupLifetime, "10s", time.Second, 5*time.Minute, serviceKinds, "Longest time that a caller may use a look-up answer."),
	listKey(KeyHosts, "", "host names, separated by commas", checkHostName, []Kind{KindService},
		"Host names by which requests address the service."),
	listKey(KeyOverflow, "", "regions in order, separated by commas; empty means the eight nearest by latency", checkName,
		[]Kind{KindRoot, KindService, KindServiceRegion},
		"Regions that get requests when the entry's own region has no free slot."),
	fractionKey(KeyShiftCap, "0.5", []Kind{KindRoot, KindService}, "Largest share of a region's traffic that all moves of a service together shift."),
	fractionKey(KeyShiftRate, "0.2", []Kind{KindRoot, KindService}, "Largest share of a region's traffic that all moves of a service together shift in a minute."),
	integerKey(KeyMaxInFlight, "0", 0, 1<<30, []Kind{KindRoot, KindService, KindServiceRegion},
		"Cap on requests in flight at a service's upstreams in a region; 0 means no cap other than the upstreams' slots."),
	fractionKey(KeyCapFloor, "0.5", regionKinds, "Share of each cap that the region's instances keep while the key-value service is unavailable."),
	integerKey(KeyCapSeats, "8", 1, 10000, regionKinds,
		"Number of instances among which the cap_floor share is divided: those of the region and those replaced within a day."),
	integerKey(KeyMaxDrainedDomains, "1", 0, 100, regionKinds, "Largest number of failure domains of a region that are drained at the same time."),
	numberKey(KeyWeight, "1", 0, 1000, []Kind{KindRoot, KindRegion, KindDomain}, "Weight of the entries of the region or failure domain in look-up answers."),
	durationKey(KeyLatency, "35ms", 0, 10*time.Second, linkKinds, "One-way latency of the link."),
	{Name: KeyService, Allowed: "a service", Doc: "The service that is drained or moved; a drain without a service applies to all services.",
		Kinds: []Kind{KindDrain, KindMove}, check: checkName},
	nameKey(KeyRegion, "a region", drainKinds, "The region that is drained."),
	nameKey(KeyDomain, "a failure domain", drainKinds, "The failure domain that is drained."),
	nameKey(KeyUpstream, "an upstream's id", drainKinds, "The upstream that is drained."),
	{Name: KeyStart, Allowed: "a time as in 2026-12-02T22:00:00Z", Doc: "Time at which the drain or move begins.",
		Kinds: []Kind{KindDrain, KindMove}, check: checkTime},
	{Name: KeyEnd, Allowed: "a time as in 2026-12-02T23:00:00Z", Doc: "Time at which the drain ends; a drain without an end lasts until it is removed.",
		Kinds: drainKinds, check: checkTime},
	nameKey(KeyFrom, "a region", moveKinds, "The region from which traffic is moved."),
	nameKey(KeyTo, "a region", moveKinds, "The region to which traffic is moved."),
	durationKey(KeyDuration, "10m", 0, 24*time.Hour, moveKinds, "Time in which the moved share rises from 0 to fraction."),
	fractionKey(KeyFraction, "0.1", moveKinds, "Share of the region's traffic that is moved when the duration has passed."),
	fractionKey(KeyStep, "0.05", moveKinds, "Size of one step of the move, as a share of the region's traffic."),
}

// keyByName maps the name of each key to its entry in Keys.
var keyByName = func() map[string]*Key {
	m := make(map[string]*Key, len(Keys))
	for i := range Keys {
		m[Keys[i].Name] = &Keys[i]
	}
	return m
}()

// ValueError reports a key or value that is not allowed at a path.
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

// CheckValue returns an error if key is not allowed at path or value is not
// allowed for key.
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

// CheckQuery returns an error if path is malformed or key is unknown. It accepts a
// key that cannot be set at path itself, since paths inherit values. Keys at paths
// under /blocks/ are not checked.
func CheckQuery(path, key string) error {
	kind, _, err := ParsePath(path)
	if err != nil || kind == KindBlocks {
		return err
	}
	if keyByName[key] == nil {
		return &ValueError{Path: path, Key: key, Reason: "unknown key", Allowed: strings.Join(keyNamesFor(kind), ", ")}
	}
	return nil
}

// checkKey returns the key with a name, or an error if it cannot be set at paths of
// a kind.
func checkKey(kind Kind, path, key string) (*Key, error) {
	k := keyByName[key]
	if k != nil && slices.Contains(k.Kinds, kind) {
		return k, nil
	}
	reason := "unknown key"
	if k != nil {
		reason = "the key cannot stand at this path"
	}
	return nil, &ValueError{Path: path, Key: key, Reason: reason, Allowed: strings.Join(keyNamesFor(kind), ", ")}
}

// keyNamesFor returns the sorted names of the keys for paths of a kind.
func keyNamesFor(kind Kind) []string {
	var names []string
	for _, k := range Keys {
		if slices.Contains(k.Kinds, kind) {
			names = append(names, k.Name)
		}
	}
	sort.Strings(names)
	return names
}

// checkBlock checks a key and value at a path under /blocks/: the key is a masked
// IP prefix, the value a list of regions.
func checkBlock(path, key, value string) error {
	if err := checkPrefix(path, key, value); err != nil {
		return err
	}
	if value == "" {
		return &ValueError{path, key, value, "no region", "regions in order, separated by commas"}
	}
	return checkEach(value, checkName)
}

// checkPrefix checks that a key at a path under /blocks/ is a masked IP prefix. The
// error includes the value.
func checkPrefix(path, key, value string) error {
	p, err := netip.ParsePrefix(key)
	if err != nil || p.Masked().String() != key {
		return &ValueError{path, key, value, "not a masked prefix in its usual form", "prefixes such as 10.1.0.0/16"}
	}
	return nil
}

// durationKey returns a key whose values are durations from lo to hi.
func durationKey(name, def string, lo, hi time.Duration, kinds []Kind, doc string) Key {
	allowed := fmt.Sprintf("a duration from %v to %v", lo, hi)
	return Key{name, def, allowed, doc, kinds, func(s string) error {
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

// numberKey returns a key whose values are numbers from lo to hi.
func numberKey(name, def string, lo, hi float64, kinds []Kind, doc string) Key {
	allowed := fmt.Sprintf("a number from %g to %g", lo, hi)
	return Key{name, def, allowed, doc, kinds, func(s string) error {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return fmt.Errorf("not a number")
		}
		// Unlike f < lo || f > hi, this condition also rejects NaN.
		if !(f >= lo && f <= hi) {
			return fmt.Errorf("out of bounds")
		}
		return nil
	}}
}

// integerKey returns a key whose values are whole numbers from lo to hi.
func integerKey(name, def string, lo, hi int, kinds []Kind, doc string) Key {
	allowed := fmt.Sprintf("a whole number from %d to %d", lo, hi)
	return Key{name, def, allowed, doc, kinds, func(s string) error {
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

// fractionKey returns a key whose values are numbers from 0 to 1.
func fractionKey(name, def string, kinds []Kind, doc string) Key {
	return numberKey(name, def, 0, 1, kinds, doc)
}

// nameKey returns a key without a default, whose values match nameRE.
func nameKey(name, allowed string, kinds []Kind, doc string) Key {
	return Key{Name: name, Allowed: allowed, Doc: doc, Kinds: kinds, check: checkName}
}

// enumKey returns a key whose values are the given words.
func enumKey(name, def string, words []string, kinds []Kind, doc string) Key {
	return Key{name, def, "one of " + strings.Join(words, ", "), doc, kinds, func(s string) error {
		if !slices.Contains(words, s) {
			return fmt.Errorf("not one of the words")
		}
		return nil
	}}
}

// listKey returns a key whose values are lists, separated by commas, of items for
// which checkItem returns no error.
func listKey(name, def, allowed string, checkItem func(string) error, kinds []Kind, doc string) Key {
	return Key{name, def, allowed, doc, kinds, func(s string) error { return checkEach(s, checkItem) }}
}

// checkEach calls check with each item of the list s and returns the first error.
func checkEach(s string, check func(string) error) error {
	for _, item := range SplitList(s) {
		if err := check(item); err != nil {
			return err
		}
	}
	return nil
}

// SplitList splits a value at its commas and trims white space around the items.
// It returns nil for an empty value.
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

// checkName checks that s can be the name of a service, region, failure domain or
// upstream.
func checkName(s string) error {
	if !nameRE.MatchString(s) {
		return fmt.Errorf("not a name that matches %s", nameRE)
	}
	return nil
}

// checkHostName checks that s can be a host name: 1 to 255 bytes without white
// space and slashes.
func checkHostName(s string) error {
	if s == "" || len(s) > 255 || strings.ContainsAny(s, " \t\r\n/") {
		return fmt.Errorf("not a host name")
	}
	return nil
}

// checkStatus checks that s is an HTTP error status, from 400 to 599.
func checkStatus(s string) error {
	n, err := strconv.Atoi(s)
	if err != nil || n < 400 || n > 599 {
		return fmt.Errorf("not a status from 400 to 599")
	}
	return nil
}

// checkTime checks that s is a time in RFC 3339 form.
func checkTime(s string) error {
	if _, err := time.Parse(time.RFC3339, s); err != nil {
		return fmt.Errorf("not a time")
	}
	return nil
}
