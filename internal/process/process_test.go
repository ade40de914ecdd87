package process

import (
	"runtime/debug"
	"testing"
)

func TestRevision(t *testing.T) {
	for want, settings := range map[string][]debug.BuildSetting{
		"unknown":     nil,
		"abc":         {{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "false"}},
		"abc+changes": {{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}},
	} {
		if got := revisionOf(settings); got != want {
			t.Errorf("revision %s, want %s", got, want)
		}
	}
}
