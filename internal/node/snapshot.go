package node

import "github.com/loomkeel/loomkeel/internal/model"

// publish updates the list of members and, once the node is synced, passes a new snapshot
// of the view to the proxy. n.mu must be held.
func (n *Node) publish() {
	// The pointer is replaced only with a new list, because fleetCache keeps the fleet until it changes.
	if members := n.view.Members(); !model.SameMembers(members, *n.members.Load()) {
		n.members.Store(&members)
	}
	if !n.synced.Load() {
		return
	}
	n.routes.Store(n.view.Routes())
	if !n.outdated.Load() {
		n.changedSince = n.now()
	}
	if n.needsSnapshot() {
		n.compile()
		return
	}
	n.outdated.Store(true)
}

// needsSnapshot reports whether a change of the view must be compiled at once. n.mu must be held.
func (n *Node) needsSnapshot() bool {
	return n.view.HasRollouts() || !n.quiet()
}

// quiet reports whether the node has had no use for a snapshot for quietAfter.
func (n *Node) quiet() bool {
	return n.Entry.Proxy.InFlight() == 0 && n.now().UnixNano()-n.activeAt.Load() >= int64(quietAfter)
}

// compile compiles the view into a snapshot and puts it in force. Requests that arrive meanwhile at a
// node that is outdated wait for that: the snapshot in force may have been replaced long ago. n.mu must
// be held.
func (n *Node) compile() {
	s := n.view.Snapshot(n.now())
	if s == nil {
		return
	}
	s.ChangedSince = n.changedSince
	n.Entry.Proxy.Update(s)
	n.outdated.Store(false)
}

// activate records that the snapshot is needed, and brings it up to date.
func (n *Node) activate() {
	now := n.syncNow()
	n.activeAt.Store(now.UnixNano())
	if now.UnixNano() >= n.checkMemberAt.Load() {
		n.updateMember(now)
	}
	n.refresh()
}

// refresh brings the snapshot up to date.
func (n *Node) refresh() {
	if !n.outdated.Load() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.outdated.Load() {
		n.compile()
	}
}

// Snapshot returns a snapshot of the present state, or nil while there is none.
func (n *Node) Snapshot() *model.Snapshot {
	n.refresh()
	return n.Entry.Proxy.Snapshot()
}
