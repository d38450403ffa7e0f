package mesh

import (
	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// RunPlaced implements gateway.Announcer.
func (m *Mesh) RunPlaced(p fleet.Placement) {
	m.enqueue(Event{Kind: EventPlaced, Placed: &p}, m.pending)
}

// FirstEvent implements gateway.Announcer.
func (m *Mesh) FirstEvent(p fleet.Placement) {
	signal := m.pending
	if p.Began != nil {
		signal = m.urgent // the client is about to have the event
	}
	m.enqueue(Event{Kind: EventFirst, Placed: &fleet.Placement{Run: p.Run, Server: p.Server, Began: p.Began}}, signal)
}

// RunEnded implements gateway.Announcer.
func (m *Mesh) RunEnded(p fleet.Placement) { m.enqueue(endOf(p), m.lazy) }

// RunNotSent implements gateway.Announcer. It is sent at once: until it arrives, peers
// refuse streams because of work that the server does not have.
func (m *Mesh) RunNotSent(p fleet.Placement) { m.enqueue(endOf(p), m.urgent) }

func endOf(p fleet.Placement) Event {
	return Event{Kind: EventEnded, Placed: &fleet.Placement{Run: p.Run, Server: p.Server, Backup: p.Backup}}
}

// CopyAdded implements gateway.Announcer.
func (m *Mesh) CopyAdded(p fleet.Placement) {
	m.enqueue(Event{Kind: EventCopied, Placed: &p}, m.pending)
}

// CopyRemoved implements gateway.Announcer.
func (m *Mesh) CopyRemoved(p fleet.Placement) {
	m.enqueue(Event{Kind: EventCopyDropped, Placed: &fleet.Placement{Run: p.Run, Backup: p.Backup}}, m.lazy)
}

// ServerLost implements gateway.Announcer.
func (m *Mesh) ServerLost(server ident.BackendID, how fleet.Loss) {
	m.enqueue(Event{Kind: EventLost, Server: server, Loss: how}, m.urgent)
}

// ServerLeaving implements gateway.Announcer.
func (m *Mesh) ServerLeaving(server ident.BackendID, incarnation int64) {
	m.enqueue(Event{Kind: EventLeaving, Server: server, Incarnation: incarnation}, m.urgent)
}

// LimitChanged implements gateway.Announcer.
func (m *Mesh) LimitChanged(n fleet.LimitNotice) {
	m.enqueue(Event{Kind: EventLimit, Limit: &n}, m.urgent)
}

// RequestRejected implements gateway.Announcer.
func (m *Mesh) RequestRejected(server ident.BackendID) {
	m.enqueue(Event{Kind: EventRejected, Server: server}, m.urgent)
}

// Found announces a server that is not on the list yet to all peers.
func (m *Mesh) Found(e fleet.Entry) { m.enqueue(Event{Kind: EventFound, Found: &e}, m.urgent) }

// Crashed implements gateway.Announcer.
func (m *Mesh) Crashed(x crashcause.Crash) { m.enqueue(Event{Kind: EventCrash, Crash: &x}, m.urgent) }

// ContentAnswered implements gateway.Announcer.
func (m *Mesh) ContentAnswered(c crashcause.Content) {
	m.enqueue(Event{Kind: EventAnswered, Answered: &c}, m.pending)
}

// enqueue queues an event and sends on signal, which determines how long the event may
// wait.
func (m *Mesh) enqueue(e Event, signal chan<- struct{}) {
	m.events.TryPush(e)
	select {
	case signal <- struct{}{}:
	default:
	}
}
