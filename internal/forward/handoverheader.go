package forward

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/loomkeel/loomkeel/internal/header"
)

// handover describes a request that another entry has handed over.
type handover struct {
	// From is the ID of that entry, and Caller the IP address of the caller.
	From, Caller string
	// Attempts is the number of attempts that are left for the request.
	Attempts int
}

// setHandover sets the headers of a request that is handed over.
func setHandover(h http.Header, o handover) {
	h.Set(header.HandoverFrom, o.From)
	h.Set(header.HandoverCaller, o.Caller)
	h.Set(header.HandoverAttempts, strconv.Itoa(o.Attempts))
}

// takeHandover removes the headers of a handover from a request and returns what they say, or nil
// if the request was not handed over. The caller's address and the attempts are used only if the
// request comes from the address of the entry that it names.
func (p *Proxy) takeHandover(r *http.Request) *handover {
	from := r.Header.Get(header.HandoverFrom)
	if from == "" {
		return nil
	}
	o := &handover{From: from, Caller: r.Header.Get(header.HandoverCaller)}
	attempts, err := strconv.Atoi(r.Header.Get(header.HandoverAttempts))
	r.Header.Del(header.HandoverFrom)
	r.Header.Del(header.HandoverCaller)
	r.Header.Del(header.HandoverAttempts)
	remote, addrErr := netip.ParseAddrPort(r.RemoteAddr)
	if addrErr != nil || p.opt.IsPeer == nil || !p.opt.IsPeer(from, remote.Addr().Unmap()) {
		return o
	}
	if err == nil && attempts > 0 {
		o.Attempts = attempts
	}
	if caller, err := netip.ParseAddr(o.Caller); err == nil {
		r.RemoteAddr = netip.AddrPortFrom(caller, 0).String()
	}
	return o
}

// callerIP returns the IP address of a request's caller.
func callerIP(r *http.Request) string {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return ip
}
