package inflight

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"k8s.io/klog/v2"
)

const (
	// nearPeriod is the time between reports to peers of the own region, and
	// farPeriod to others. An upstream with three slots gets a request every
	// 50 ms to 100 ms.
	nearPeriod = 100 * time.Millisecond
	farPeriod  = 200 * time.Millisecond
	// maxPeers is how many peers are told in one period; with more of them each
	// is told less often, in turn.
	maxPeers = 24
	// maxDatagram is the largest report in bytes.
	maxDatagram = 1400
)

// Peer is another entry.
type Peer struct {
	Address netip.AddrPort
	// Near is set for peers of the own region.
	Near bool
}

// Options sets up an Exchange.
type Options struct {
	// Address is the own one, IP:PORT for UDP.
	Address string
	// Entry and Incarnation go into the reports.
	Entry       string
	Incarnation uint64
	// Peers returns the other entries.
	Peers func() []Peer
	// Counts returns what to report.
	Counts func() []Count
	// Heard takes in a peer's report.
	Heard func(*Report)
}

// Exchange sends the own reports and receives those of others.
type Exchange struct {
	opt  Options
	conn *net.UDPConn
	seq  uint64
	// next is the place among the peers at which the next period begins.
	next int
	buf  []byte
}

// Listen opens the socket.
func Listen(opt Options) (*Exchange, error) {
	addr, err := netip.ParseAddrPort(opt.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &Exchange{opt: opt, conn: conn}, nil
}

// Run sends and receives until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	defer x.conn.Close()
	tick := time.NewTicker(nearPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			x.send()
		case <-ctx.Done():
			return
		}
	}
}

// send tells the peers that are due. A datagram that cannot be sent is as good as
// lost.
func (x *Exchange) send() {
	x.seq++
	far := x.seq%uint64(farPeriod/nearPeriod) == 0
	peers := x.opt.Peers()
	if len(peers) == 0 {
		return
	}
	r := Report{Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq, Counts: x.opt.Counts()}
	x.buf = r.Append(x.buf[:0])
	for i := range min(maxPeers, len(peers)) {
		p := peers[(x.next+i)%len(peers)]
		if p.Near || far {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, p.Address)
		}
	}
	if len(peers) > maxPeers {
		x.next = (x.next + maxPeers) % len(peers)
	}
}

func (x *Exchange) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r, err := Decode(buf[:n])
		if err != nil {
			klog.V(1).InfoS("report refused", "from", from, "err", err)
			continue
		}
		x.opt.Heard(r)
	}
}
