// Package settings reads the INI file of an instance into typed structs.
//
// All processes of an instance share one file. Load reports every error of a file at once, each
// with the file, section, key, value and allowed values.
//
// The tags of a field define its key (ini), default, bounds (min, max), syntax (form), whether
// it is required, and its help text (doc).
package settings

import (
	"time"
)

// Settings is the content of an instance's settings file, one field per section.
type Settings struct {
	Instance Instance `ini:"instance"`
	Platform Platform `ini:"platform"`
	Agent    Agent    `ini:"agent"`
	Director Director `ini:"director"`
	Entry    Entry    `ini:"entry"`
	TLS      TLS      `ini:"tls"`
	Log      Log      `ini:"log"`
}

// Instance identifies the instance and its location.
type Instance struct {
	ID     string `ini:"id" form:"name" required:"true" doc:"Unique name of the instance, as in the platform's instance list."`
	Region string `ini:"region" form:"name" required:"true" doc:"Region of the instance."`
	Domain string `ini:"domain" form:"name" required:"true" doc:"Failure domain of the instance."`
}

// Platform configures the client of the platform's key-value service and instance list.
type Platform struct {
	Address string        `ini:"address" form:"url" required:"true" doc:"Base URL of the key-value service and instance list."`
	Timeout time.Duration `ini:"timeout" default:"2s" min:"10ms" max:"1m" doc:"Timeout of a call other than a watch."`
}

// Agent configures loomkeel-agent.
type Agent struct {
	PeerAddress     string        `ini:"peer" form:"address" required:"true" doc:"Address for other agents and for the processes of this instance."`
	OperatorAddress string        `ini:"operator" form:"address" required:"true" doc:"Address for operators, metrics and dumps."`
	Seeds           []string      `ini:"seeds" form:"address" doc:"Peer addresses of other agents to contact at the start, separated by commas."`
	TokenFile       string        `ini:"token_file" doc:"File with the operators' token; without one the operator address must be on loopback."`
	CommitTimeout   time.Duration `ini:"commit_timeout" default:"5s" min:"100ms" max:"1m" doc:"Timeout for one change to be accepted."`
}

// Director configures loomkeel-director.
type Director struct {
	ListenAddress string `ini:"listen" form:"address" required:"true" doc:"Address for callers' look-ups."`
	DebugAddress  string `ini:"debug" form:"address" required:"true" doc:"Address for health, metrics and dumps; loopback only."`
}

// Entry configures loomkeel-entry.
type Entry struct {
	ListenAddress string        `ini:"listen" form:"address" required:"true" doc:"Address for callers' requests, as returned by look-ups."`
	DebugAddress  string        `ini:"debug" form:"address" required:"true" doc:"Address for health, metrics and dumps; loopback only."`
	MaxInFlight   int           `ini:"room" default:"4096" min:"1" max:"1000000" doc:"Maximum number of requests in the entry at one time."`
	MaxBody       int           `ini:"max_body" default:"67108864" min:"1024" max:"4294967296" doc:"Largest request body in bytes."`
	Linger        time.Duration `ini:"linger" default:"12s" min:"0s" max:"10m" doc:"How long a stopping entry still accepts requests, for callers whose look-up answer names it; at least the longest lookup_lifetime."`
	StopTimeout   time.Duration `ini:"stop_timeout" default:"2m" min:"1s" max:"1h" doc:"How long a stopping entry waits for requests in flight after linger."`
}

// TLS holds the paths of certificate files. Connections to callers, between agents and to
// upstreams use plain TCP if cert, peer_ca or upstream_ca respectively is empty.
type TLS struct {
	CertFile       string `ini:"cert" doc:"Certificate file of this instance, PEM, for callers and peers."`
	KeyFile        string `ini:"key" doc:"Private key file of the certificate, PEM."`
	PeerCAFile     string `ini:"peer_ca" doc:"File with the CA of the instances' certificates, PEM; if set, agents accept only peers with a certificate of this CA."`
	UpstreamCAFile string `ini:"upstream_ca" doc:"File with the CA of the upstreams' certificates, PEM; if set, requests to upstreams use TLS."`
}

// Log configures logging.
type Log struct {
	Verbosity int `ini:"verbosity" default:"0" min:"0" max:"9" doc:"klog verbosity; 2 logs every request."`
}
