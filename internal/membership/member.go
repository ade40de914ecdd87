package membership

import (
	"fmt"
	"slices"
)

// State is the state of a member in a Table. Between two states of the same
// incarnation, the larger value takes precedence.
type State uint8

// Member states, in increasing order of precedence.
const (
	// Alive is the state of a member that answers probes.
	Alive State = iota + 1
	// Suspect is the state of a member that answered neither a direct nor an
	// indirect probe and has not refuted this yet.
	Suspect
	// Leaving is the state of a member that announced that it stops.
	Leaving
	// Dead is the state of a suspected member that did not refute in time.
	Dead
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

// String returns the state's name, or "unknown" for an undefined value.
func (s State) String() string {
	if s >= Alive && s <= Dead {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler. It returns the state's name and
// never an error.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error if text
// is not the name of a state.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < int(Alive) {
		return fmt.Errorf("membership: parse member state %q: allowed are %v", text, stateNames[Alive:])
	}
	*s = State(i)
	return nil
}

// Member describes one instance.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	Region      string `json:"region"`
	Domain      string `json:"domain"`
	// Agent, Entry and Director are the addresses of the instance's processes. An
	// empty Entry or Director means that the process is not available.
	Agent    string `json:"agent"`
	Entry    string `json:"entry,omitempty"`
	Director string `json:"director,omitempty"`
	// LinkMbps is the capacity of the instance's network link in Mbit/s; 0 if
	// unknown. Only the node process sets it.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Cores is the number of processor cores of the instance; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
}

// Live reports whether requests and messages may be sent to the member. Suspected
// members count as live until they are declared dead.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }
