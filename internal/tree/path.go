package tree

import (
	"fmt"
	"regexp"
	"strings"
)

// Kind is the kind of object to which the settings at a path apply. It determines
// the keys that can be set at the path.
type Kind uint8

// The kinds of paths, as in pathPatterns.
const (
	KindRoot Kind = iota
	KindRegion
	KindDomain
	KindService
	KindServiceRegion
	KindServiceDomain
	KindLinks
	KindLink
	KindBlocks
	KindDrain
	KindMove
	kindCount
)

// pathPatterns holds the pattern of the paths of each kind; words in capitals are
// placeholders for names.
var pathPatterns = [kindCount]string{
	KindRoot:          "/",
	KindRegion:        "/regions/REGION",
	KindDomain:        "/regions/REGION/domains/DOMAIN",
	KindService:       "/services/SERVICE",
	KindServiceRegion: "/services/SERVICE/regions/REGION",
	KindServiceDomain: "/services/SERVICE/regions/REGION/domains/DOMAIN",
	KindLinks:         "/links/REGION",
	KindLink:          "/links/REGION/REGION",
	KindBlocks:        "/blocks/NAME",
	KindDrain:         "/drains/NAME",
	KindMove:          "/moves/NAME",
}

// String returns the pattern of the kind's paths.
func (k Kind) String() string {
	if k < kindCount {
		return pathPatterns[k]
	}
	return "unknown"
}

// PathPatterns returns the patterns of all paths.
func PathPatterns() []string { return pathPatterns[:] }

// maxPathBytes is the largest length of a path in bytes.
const maxPathBytes = 256

// nameRE matches the names in paths and in values.
var nameRE = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// PathError reports a malformed path.
type PathError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PathError) Error() string {
	return fmt.Sprintf("path %q: %s; allowed are %s", e.Path, e.Reason, strings.Join(PathPatterns(), ", "))
}

// ParsePath returns the kind of a path and the names in it, in order. Errors are of
// type *PathError.
func ParsePath(path string) (Kind, []string, error) {
	if path == "/" {
		return KindRoot, nil, nil
	}
	if len(path) > maxPathBytes {
		return 0, nil, &PathError{path, fmt.Sprintf("longer than %d bytes", maxPathBytes)}
	}
	parts := strings.Split(path, "/")
	for k := KindRoot + 1; k < kindCount; k++ {
		names, ok := matchPattern(strings.Split(pathPatterns[k], "/"), parts)
		if !ok {
			continue
		}
		for _, n := range names {
			if !nameRE.MatchString(n) {
				return 0, nil, &PathError{path, fmt.Sprintf("name %q must match %s", n, nameRE)}
			}
		}
		return k, names, nil
	}
	return 0, nil, &PathError{path, "no such place"}
}

// matchPattern compares the parts of a path with those of a pattern. It returns
// the parts that match placeholders, and whether the path matches.
func matchPattern(pattern, parts []string) ([]string, bool) {
	if len(pattern) != len(parts) {
		return nil, false
	}
	var names []string
	for i, want := range pattern {
		if want != "" && want == strings.ToUpper(want) {
			names = append(names, parts[i])
			continue
		}
		if want != parts[i] {
			return nil, false
		}
	}
	return names, true
}

// Parent returns the path from which path inherits values, and false for the root.
func Parent(path string) (string, bool) {
	for path != "/" {
		i := strings.LastIndexByte(path, '/')
		if i <= 0 {
			return "/", true
		}
		path = path[:i]
		if _, _, err := ParsePath(path); err == nil {
			return path, true
		}
	}
	return "", false
}

// RegionPath returns the path of a region.
func RegionPath(region string) string { return "/regions/" + region }

// ServicePath returns the path of a service.
func ServicePath(service string) string { return "/services/" + service }

// ServiceDomainPath returns the path of the upstreams of a service in a failure domain.
func ServiceDomainPath(service, region, domain string) string {
	return "/services/" + service + "/regions/" + region + "/domains/" + domain
}

// LinkPath returns the path of the link between two regions.
func LinkPath(from, to string) string { return "/links/" + from + "/" + to }
