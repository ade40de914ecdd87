package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// promises are the statuses by which a caller is told that its request was not run and never will be.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// isPromise reports whether a caller that got this result may take its request for one that was not run.
func (a result) isPromise(t *testing.T) bool {
	t.Helper()
	return slices.Contains(promises, a.status) || a.bodyErr == nil && a.verdict(t) == verdict.NotRun
}

// newScriptedPeer returns the address of a peer that reads each request, gives the next of its answers,
// the last one again and again, and closes the connection.
func newScriptedPeer(t *testing.T, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			answer := answers[0]
			answers = answers[min(1, len(answers)-1):]
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, answer)
			}()
		}
	}()
	return l.Addr().String()
}

// peerAnswer returns a peer's own answer to the request with an ID. head is the verdict in its header,
// empty for none, and body the one in its body.
func peerAnswer(status int, id, head, body, reason string) string {
	field := ""
	if head != "" {
		field = verdict.Header + ": " + head + "\r\n"
	}
	text := fmt.Sprintf(`{"verdict":%q,"reason":%q,"request_id":%q}`, body, reason, id)
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header.RequestID, id, field, len(text), text)
}

// TestPeersRefusalsAreTrue guards against promises that rest on an answer of a peer that doesn't say for
// certain that this request was not run.
func TestPeersRefusalsAreTrue(t *testing.T) {
	const id = "id-1"
	notRun, mayHaveRun, ran := verdict.NotRun.String(), verdict.MayHaveRun.String(), verdict.Ran.String()
	type testCase struct {
		name, answer string
		promise      bool
	}
	cases := []testCase{
		{"refused", peerAnswer(503, id, notRun, notRun, reasonNoSlot), true},
		{"over its limit", peerAnswer(429, id, notRun, notRun, reasonOverOrganisationLimit), true},
		{"stops", peerAnswer(503, id, notRun, notRun, reasonLeaving), true},
		{"has no configuration and names no request", peerAnswer(503, "", notRun, notRun, reasonStarting), true},
		{"refused another request", peerAnswer(503, "id-2", notRun, notRun, reasonNoSlot), false},
		{"is isolated, says so of another request", peerAnswer(503, "id-2", notRun, notRun, reasonIsolated), false},
		{"names no request", peerAnswer(503, "", notRun, notRun, reasonNoSlot), false},
		{"header and body differ", peerAnswer(503, id, mayHaveRun, notRun, reasonNoSlot), false},
		{"header has another word", peerAnswer(503, id, "maybe", notRun, reasonNoSlot), false},
		{"body has another word", peerAnswer(503, id, notRun, "maybe", reasonNoSlot), false},
		{"refused without a verdict", peerAnswer(429, id, "", notRun, reasonNoSlot), false},
		{"broke off", peerAnswer(503, id, notRun, notRun, reasonNoSlot)[:120], false},
		{"closed", "", false},
		{"is no node", "HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, status := range promises {
		cases = append(cases,
			testCase{fmt.Sprint("may have run, ", status), peerAnswer(status, id, mayHaveRun, mayHaveRun, reasonBroken), false},
			testCase{fmt.Sprint("ran, ", status), peerAnswer(status, id, ran, ran, reasonBroken), false},
			testCase{fmt.Sprint("timeout, ", status), peerAnswer(status, id, mayHaveRun, mayHaveRun, reasonTimeout), false},
			testCase{fmt.Sprint("header and body differ, ", status), peerAnswer(status, id, notRun, mayHaveRun, reasonBroken), false})
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, _ := newIsolatedEntry(t, peerOf("n2", newScriptedPeer(t, c.answer)))
			a := e.send(t, "POST", "/x", "b", header.Repeat, "unsafe", header.RequestID, id)
			if a.isPromise(t) != c.promise {
				t.Errorf("status %d, %s; a promise: %t, want %t", a.status, a.body, a.isPromise(t), c.promise)
			}
		})
	}
}

// TestHandoverKeepsWhatAnEarlierPeerMayHaveRun guards against a promise after a peer broke off and the
// next one could take no request.
func TestHandoverKeepsWhatAnEarlierPeerMayHaveRun(t *testing.T) {
	const id = "id-1"
	notRun := verdict.NotRun.String()
	for _, reason := range []string{reasonIsolated, reasonLeaving, reasonNoSlot} {
		t.Run(reason, func(t *testing.T) {
			peer := newScriptedPeer(t, "", peerAnswer(503, id, notRun, notRun, reason))
			e, _ := newIsolatedEntry(t, peerOf("n2", peer), peerOf("n3", peer))
			a := e.send(t, "POST", "/x", "b", header.Repeat, "safe", header.RequestID, id)
			if a.isPromise(t) {
				t.Errorf("status %d, %s", a.status, a.body)
			}
		})
	}
}

// TestReplyWithoutLastErrorKeepsOutcome guards against a promise of an entry that does not know the last
// error of a request that may have run.
func TestReplyWithoutLastErrorKeepsOutcome(t *testing.T) {
	for _, outcome := range []verdict.Verdict{verdict.MayHaveRun, verdict.Ran} {
		l := isolatedReply().withOutcome(nil, outcome)
		if l.verdict != outcome || l.status != http.StatusBadGateway || l.reason != reasonIsolated {
			t.Errorf("outcome %v: status %d, verdict %v, reason %s", outcome, l.status, l.verdict, l.reason)
		}
	}
}

// TestPeersRefusalIsEvidence guards against promises of which no dump tells that a peer gave them.
func TestPeersRefusalIsEvidence(t *testing.T) {
	answer := peerAnswer(503, "id-1", verdict.NotRun.String(), verdict.NotRun.String(), reasonNoSlot)
	unreachable := newUnreachableUpstream(t)
	for name, c := range map[string]struct{ peer, reason string }{
		"refuses":        {newScriptedPeer(t, answer), reasonNoSlot},
		"is unreachable": {unreachable.lis.Addr().String(), reasonUnreachable},
	} {
		ended := make(chan Outcome, 1)
		e := newEntryWith(t, func(o *Options) {
			o.Self = "n1"
			o.Peers = func() Peers { return Peers{Usable: []model.Member{peerOf("n2", c.peer)}, InRegion: 2} }
			o.Observe = func(out Outcome) { ended <- out }
		}, []*fakeUpstream{unreachable})
		isolate(t, e)
		a := e.send(t, "POST", "/x", "b", header.Repeat, "unsafe", header.RequestID, "id-1")
		out := <-ended
		if !a.isPromise(t) || len(out.Evidence) != 1 || out.Evidence[0].Upstream != "n2" || out.Evidence[0].Reason != c.reason || len(e.Refusals()) != 1 {
			t.Errorf("a peer that %s: status %d, evidence %v, refusals %v", name, a.status, out.Evidence, e.Refusals())
		}
	}
}
