package tree

import (
	"fmt"
	"regexp"
	"strings"
)

// Kind is the role of a path in the tree; it decides which keys may stand there.
type Kind uint8

// The kinds of paths.
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

var kindForms = [kindCount]string{
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

// String returns the form of the kind's paths.
func (k Kind) String() string {
	if k < kindCount {
		return kindForms[k]
	}
	return "unknown"
}

// PathPatterns lists the forms that a path may have.
func PathPatterns() []string { return kindForms[:] }

// maxPath is the largest length of a path in bytes.
const maxPath = 256

var nameRE = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

// PathError reports a path that the tree has no place for.
type PathError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PathError) Error() string {
	return fmt.Sprintf("path %q: %s; allowed are %s", e.Path, e.Reason, strings.Join(PathPatterns(), ", "))
}

// ParsePath returns the kind of a path and its names in order.
func ParsePath(path string) (Kind, []string, error) {
	if path == "/" {
		return KindRoot, nil, nil
	}
	if len(path) > maxPath {
		return 0, nil, &PathError{path, fmt.Sprintf("longer than %d bytes", maxPath)}
	}
	parts := strings.Split(path, "/")
	for k := KindRoot + 1; k < kindCount; k++ {
		names, ok := match(strings.Split(kindForms[k], "/"), parts)
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

// match compares a path with a form; capital words in the form match any name.
func match(form, parts []string) ([]string, bool) {
	if len(form) != len(parts) {
		return nil, false
	}
	var names []string
	for i, f := range form {
		if f != "" && f == strings.ToUpper(f) {
			names = append(names, parts[i])
			continue
		}
		if f != parts[i] {
			return nil, false
		}
	}
	return names, true
}

// Parent returns the path that path inherits from, and false for the root.
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
