// Package settings reads the INI file of an instance into typed structs.
//
// One file serves all processes of an instance. Load reports every fault at
// once, each with file, section, key, value and what is allowed.
package settings

import (
	"time"
)

// Settings is the content of an instance's file.
type Settings struct {
	Instance Instance `ini:"instance"`
	Platform Platform `ini:"platform"`
	Agent    Agent    `ini:"agent"`
	Director Director `ini:"director"`
	Entry    Entry    `ini:"entry"`
	TLS      TLS      `ini:"tls"`
	Log      Log      `ini:"log"`
}

// Instance says who and where the instance is.
type Instance struct {
	ID     string `ini:"id" form:"name" required:"true" doc:"Name of the instance, unique among all, as in the platform's list."`
	Region string `ini:"region" form:"name" required:"true" doc:"Region that the instance stands in."`
	Domain string `ini:"domain" form:"name" required:"true" doc:"Failure domain that the instance stands in."`
}

// Platform says where the platform's services are.
type Platform struct {
	Address string        `ini:"address" form:"url" required:"true" doc:"Base URL of the key-value service and instance list."`
	Timeout time.Duration `ini:"timeout" default:"2s" min:"10ms" max:"1m" doc:"Longest wait for one call other than a watch."`
}

// Agent sets up loomkeel-agent.
type Agent struct {
	PeerAddress     string        `ini:"peer" form:"address" required:"true" doc:"Address for other agents and for the processes of this instance."`
	OperatorAddress string        `ini:"operator" form:"address" required:"true" doc:"Address for operators, metrics and dumps."`
	Seeds           []string      `ini:"seeds" form:"address" doc:"Peer addresses of other agents to start from, separated by commas."`
	TokenFile       string        `ini:"token_file" doc:"File with the operators' token; without one the operator address must be on loopback."`
	CommitTimeout   time.Duration `ini:"commit_timeout" default:"5s" min:"100ms" max:"1m" doc:"Longest time for one change to be accepted."`
}

// Director sets up loomkeel-director.
type Director struct {
	ListenAddress string `ini:"listen" form:"address" required:"true" doc:"Address for callers' look-ups."`
	DebugAddress  string `ini:"debug" form:"address" required:"true" doc:"Address for health, metrics and dumps; loopback only."`
}

// Entry sets up loomkeel-entry.
type Entry struct {
	ListenAddress string        `ini:"listen" form:"address" required:"true" doc:"Address for callers' requests, as look-ups name it."`
	DebugAddress  string        `ini:"debug" form:"address" required:"true" doc:"Address for health, metrics and dumps; loopback only."`
	MaxInFlight   int           `ini:"room" default:"4096" min:"1" max:"1000000" doc:"Requests in the entry at one time."`
	MaxBody       int           `ini:"max_body" default:"67108864" min:"1024" max:"4294967296" doc:"Largest request body in bytes."`
	Linger        time.Duration `ini:"linger" default:"12s" min:"0s" max:"10m" doc:"How long a stopping entry still takes requests, for callers whose look-up answer names it; at least the longest lookup_lifetime."`
	StopTimeout   time.Duration `ini:"stop_timeout" default:"2m" min:"1s" max:"1h" doc:"How long a stopping entry waits for requests in flight after that."`
}

// TLS names certificate files; an empty value means plain TCP.
type TLS struct {
	CertFile       string `ini:"cert" doc:"Certificate file of this instance, PEM, for callers and peers."`
	KeyFile        string `ini:"key" doc:"Private key file of the certificate, PEM."`
	PeerCAFile     string `ini:"peer_ca" doc:"File of the authority that signs the instances' certificates; agents then accept only such peers."`
	UpstreamCAFile string `ini:"upstream_ca" doc:"File of the authority that signs the upstreams' certificates; requests to upstreams then go over TLS."`
}

// Log sets the amount of logging.
type Log struct {
	Verbosity int `ini:"verbosity" default:"0" min:"0" max:"9" doc:"klog verbosity; 2 logs every request."`
}
