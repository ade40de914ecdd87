package membership

import (
	"fmt"
	"slices"
)

// State is what is believed of a member. Of two states of one incarnation the
// larger wins.
type State uint8

// The states.
const (
	Alive State = iota + 1
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Leaving: "leaving", Dead: "dead"}

// String returns the state's name.
func (s State) String() string {
	if s >= Alive && s <= Dead {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames[:], string(text))
	if i < int(Alive) {
		return fmt.Errorf("membership: state %q, allowed are %v", text, stateNames[Alive:])
	}
	*s = State(i)
	return nil
}

// Member is one instance.
type Member struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
	Region      string `json:"region"`
	Domain      string `json:"domain"`
	// Agent, Entry and Director are the addresses of the instance's processes.
	Agent    string `json:"agent"`
	Entry    string `json:"entry,omitempty"`
	Director string `json:"director,omitempty"`
	// LinkMbps is what the instance's link carries in Mbit/s; 0 if unknown. Of the
	// processes only the node tells it.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Cores is how much processor the instance has, in cores; 0 if unknown.
	Cores float64 `json:"cores,omitempty"`
}

// Live reports whether the member may be sent work or messages.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }
