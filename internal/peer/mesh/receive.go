package mesh

import (
	"context"
	"net/netip"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
)

func (m *Mesh) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, source, err := m.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // a socket error, such as an unreachable port
			continue
		}
		m.handleDatagram(time.Now(), source, buf[:n])
	}
}

// handleDatagram decodes and handles one datagram. Whatever it contains, the process
// continues.
func (m *Mesh) handleDatagram(now time.Time, source netip.AddrPort, p []byte) {
	defer func() {
		if v := recover(); v != nil {
			m.Panicked(v)
		}
	}()
	msg, err := decode(p)
	if err != nil {
		return // not a datagram of this protocol
	}
	m.handle(now, source, msg)
}

func (m *Mesh) handle(now time.Time, source netip.AddrPort, msg message) {
	m.mu.Lock()
	needsHello := m.members.needsHello(msg)
	superseded := m.members.supersededBy(msg)
	restarted, ok := m.members.accept(now, msg)
	m.mu.Unlock()
	if superseded != 0 {
		// A late datagram of the earlier process has no effect on the one that runs now.
		m.sendTo(source.String(), m.encoded(message{Superseded: superseded}))
	}
	if msg.Superseded != 0 {
		m.raiseIncarnation(msg.Superseded)
	}
	if needsHello {
		m.sendTo(source.String(), m.encoded(message{Member: m.localMember(), Hello: true}))
	}
	if !ok {
		return
	}
	if restarted {
		m.fleet.RemoveHost(msg.Host)
	}
	for _, e := range msg.Events {
		m.apply(now, msg.Host, e)
	}
	if msg.ServerChanges != nil {
		m.ServerChanges(*msg.ServerChanges)
	}
	m.handleLoans(now, msg)
	m.handlePermits(now, msg)
	m.handleOrigins(now, msg)
	m.handleRollouts(now, msg)
	m.handleDispatch(now, msg)
	if msg.Member == nil {
		return
	}
	if msg.Hello {
		m.sendTo(msg.Member.Mesh, m.encoded(message{Member: m.localMember()}))
	}
	m.Heartbeat(*msg.Member)
}

// handleLoans answers a request for a loan, and passes a loan on to Lent.
func (m *Mesh) handleLoans(now time.Time, msg message) {
	if x := msg.Loan; x != nil {
		m.Lent(now, *x)
	}
	x := msg.LoanRequest
	if x == nil {
		return
	}
	m.mu.Lock()
	borrower := m.members.peers[msg.Host]
	m.mu.Unlock()
	if borrower == nil {
		return
	}
	answer := Loan{Service: x.Service, Number: x.Number, Retries: m.Lend(now, x.Service, x.Retries)}
	m.sendTo(borrower.Mesh, m.encoded(message{Loan: &answer}))
}

// handlePermits passes requests for permission to send, and answers to them, on to the
// handlers.
func (m *Mesh) handlePermits(now time.Time, msg message) {
	if x := msg.Permitted; x != nil {
		m.Permitted(now, *x)
	}
	if x := msg.Release; x != nil {
		m.Released(now, msg.Host, *x)
	}
	if msg.Permit == nil {
		return
	}
	m.mu.Lock()
	sender := m.members.peers[msg.Host]
	m.mu.Unlock()
	if sender != nil {
		m.Permit(now, sender.Mesh, *msg.Permit)
	}
}

// handleOrigins answers a question for the version that began a stream, and passes an
// answer on to the handler.
func (m *Mesh) handleOrigins(now time.Time, msg message) {
	if x := msg.OriginAnswer; x != nil {
		m.OriginAnswered(*x)
	}
	x := msg.Origin
	if x == nil {
		return
	}
	m.mu.Lock()
	sender := m.members.peers[msg.Host]
	m.mu.Unlock()
	if sender != nil {
		answer := OriginAnswer{Number: x.Number, Version: m.VersionOf(now, x.Key)}
		m.sendTo(sender.Mesh, m.encoded(message{OriginAnswer: &answer}))
	}
}

// handleDispatch passes questions for a server, their answers and the ends of calls on to the
// handlers.
func (m *Mesh) handleDispatch(now time.Time, msg message) {
	if x := msg.Assigned; x != nil {
		m.AssignedTo(now, *x)
	}
	if x := msg.CallEnd; x != nil {
		m.CallEnded(now, msg.Host, *x)
	}
	if msg.Ask == nil {
		return
	}
	m.mu.Lock()
	sender := m.members.peers[msg.Host]
	m.mu.Unlock()
	if sender != nil {
		m.Asked(now, msg.Host, sender.Mesh, *msg.Ask)
	}
}

// handleRollouts passes reports and plans of roll-outs on to the handlers.
func (m *Mesh) handleRollouts(now time.Time, msg message) {
	if x := msg.RolloutReport; x != nil {
		x.Host, x.Incarnation = msg.Host, msg.Incarnation
		m.RolloutReported(now, *x)
	}
	if x := msg.RolloutPlan; x != nil {
		m.RolloutPlanned(now, x.Service, x.Plan)
	}
}

func (m *Mesh) apply(now time.Time, host ident.HostID, e Event) {
	switch {
	case e.Kind == EventFound && e.Found != nil:
		m.fleet.AddDiscovered(now, *e.Found)
	case e.Kind == EventCrash && e.Crash != nil:
		m.Crash(now, *e.Crash)
	case e.Kind == EventAnswered && e.Answered != nil:
		m.Answered(now, *e.Answered)
	case e.Kind == EventLimit && e.Limit != nil:
		m.Limit(now, *e.Limit)
	case e.Kind == EventLost:
		m.Lost(now, host, e.Server, e.Loss)
	case e.Kind == EventRejected:
		m.Rejected(now, e.Server)
	case e.Kind == EventLeaving:
		m.fleet.RecordLeaving(e.Server, e.Incarnation)
	case e.Placed == nil:
	case e.Kind == EventPlaced:
		m.fleet.AddRun(now, host, *e.Placed)
	case e.Kind == EventFirst:
		if e.Placed.Began != nil {
			m.Began(now, *e.Placed.Began)
		}
		m.fleet.RecordPromptRead(now, host, *e.Placed)
	case e.Kind == EventCopied:
		m.fleet.AddCopy(host, *e.Placed)
	case e.Kind == EventCopyDropped:
		m.fleet.RemoveCopy(host, *e.Placed)
	case e.Kind == EventEnded:
		m.fleet.RemoveRun(host, *e.Placed)
	}
}
