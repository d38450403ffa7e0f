package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/membership"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/placement"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// admissionInterval is how often capacity and limits are updated.
const admissionInterval = 100 * time.Millisecond

// runPeriodically calls step immediately and then at each interval until ctx
// ends. A step that takes longer than the interval delays the next one.
func runPeriodically(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readHostList updates membership and backend servers from the platform's host
// list. If the list cannot be read, the last one remains in effect.
func (n *Node) readHostList(ctx context.Context) {
	n.mu.Lock()
	due := n.view.ListDue(time.Now(), n.settings.Membership.HostListInterval.Duration)
	n.mu.Unlock()
	if !due {
		return
	}
	list, err := n.hostList.Fetch(ctx)
	if err != nil {
		n.events.LogError(logrus.WarnLevel, telemetry.EventHostListFailed, err, nil, "read the host list")
		return
	}
	now := time.Now()
	n.mu.Lock()
	transitions := n.view.ObserveList(now, list.Hosts)
	n.resetFreshnessAfterJump()
	if len(list.Hosts) > 0 {
		n.listed = hostIDs(list.Hosts)
	}
	n.mu.Unlock()
	n.observeTransitions(transitions)
	n.updateLedgerHosts(now)
	n.backends.ObserveList(list.Backends)
}

func hostIDs(hosts []platformapi.Host) []ident.HostID {
	ids := make([]ident.HostID, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, ident.HostID(h.HostID))
	}
	return ids
}

// tickMembership updates the membership view and the proofs of freshness for the
// time that has passed.
func (n *Node) tickMembership(context.Context) {
	n.mu.Lock()
	transitions := n.view.Tick(time.Now())
	n.resetFreshnessAfterJump()
	n.freshness.Prune(time.Now())
	n.mu.Unlock()
	n.observeTransitions(transitions)
}

// resetFreshnessAfterJump discards the proofs of freshness if the view found a
// clock jump: this node was paused, so its knowledge of other nodes is out of
// date. It must be called after every input of the view, because any of them
// can find the jump and only the first one does. The caller must hold mu.
func (n *Node) resetFreshnessAfterJump() {
	if n.view.TakeClockJump() {
		n.freshness.Reset()
		n.events.Log(logrus.WarnLevel, telemetry.EventClockJump, nil, "this node was paused; proofs of freshness are void")
	}
}

func (n *Node) observeTransitions(transitions []membership.Transition) {
	for _, t := range transitions {
		if t.Host == n.host && t.To == membership.Leaving && t.Reason == membership.ReasonListMark {
			close(n.markedLeaving) // the view reports this transition only once
		}
		n.events.Log(logrus.InfoLevel, telemetry.EventPeerState, logrus.Fields{
			telemetry.FieldPeer: t.Host,
			"from":              t.From.String(),
			"to":                t.To.String(),
			"reason":            t.Reason,
		}, "node changed its state")
		if t.To == membership.Dead || t.To == membership.Left {
			n.backends.WithFleet(func(f *placement.Fleet) { f.RemovePeer(t.Host) })
		}
	}
}

// sendHeartbeats exchanges heartbeats with all heartbeat peers concurrently. It
// does not wait for the responses.
func (n *Node) sendHeartbeats(ctx context.Context) {
	n.mu.Lock()
	peers := n.view.HeartbeatPeers()
	n.mu.Unlock()
	n.expireDeathReports(time.Now())
	demands := n.demandsFor(time.Now(), peers)
	for i, peer := range peers {
		heartbeat := n.heartbeat(peer.Host)
		heartbeat.Demands = demands[i]
		go n.sendHeartbeat(ctx, peer, heartbeat)
	}
}

// requestEarlyHeartbeat causes heartbeats to be sent before the next interval.
// It does not block.
func (n *Node) requestEarlyHeartbeat() {
	select {
	case n.earlyHeartbeat <- struct{}{}:
	default:
	}
}

// earlyHeartbeatInterval is the shortest time between early heartbeats.
const earlyHeartbeatInterval = 50 * time.Millisecond

// sendEarlyHeartbeats sends heartbeats on request, for changes that must not
// wait for the next interval.
func (n *Node) sendEarlyHeartbeats(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.earlyHeartbeat:
			n.sendHeartbeats(ctx)
			sleep(ctx, earlyHeartbeatInterval)
		}
	}
}

func (n *Node) sendHeartbeat(ctx context.Context, peer membership.Node, heartbeat *nodepb.HeartbeatRequest) {
	client, err := n.peers.Client(peer.Address)
	if err != nil {
		return
	}
	requestSentAt := time.Now()
	answer, err := client.Heartbeat(ctx, heartbeat)
	if err != nil {
		n.mu.Lock()
		transitions := n.view.ConnectionFailed(time.Now(), peer.Host, peer.Incarnation)
		n.resetFreshnessAfterJump()
		n.mu.Unlock()
		n.observeTransitions(transitions)
		return
	}
	n.observeHeartbeat(requestSentAt, responseAsRequest(answer))
	n.observeLoans(time.Now(), answer)
	n.recordEvidenceSent(peer.Host, answer.GetSender().GetIncarnation(), heartbeat.GetEvidence().GetSequence())
	if ident.LogSequence(answer.GetSequence()) > n.contracts.Sequence() {
		n.fetchContracts(ctx, client)
	}
}

func responseAsRequest(a *nodepb.HeartbeatResponse) *nodepb.HeartbeatRequest {
	return &nodepb.HeartbeatRequest{
		Sender:     a.GetSender(),
		Leaving:    a.GetLeaving(),
		Sequence:   a.GetSequence(),
		FreshAgeMs: a.GetFreshAgeMs(),
		InFlight:   a.GetInFlight(),
		Uses:       a.GetUses(),
		Evidence:   a.GetEvidence(),
	}
}

// heartbeat returns the heartbeat for a peer.
func (n *Node) heartbeat(to ident.HostID) *nodepb.HeartbeatRequest {
	now := time.Now()
	h := &nodepb.HeartbeatRequest{
		Sender:   n.sender(),
		InFlight: int32(n.runs.inFlight()),
		Uses:     n.backendUses(),
		Evidence: n.crashEvidence(to),
	}
	n.mu.Lock()
	_, h.Leaving = n.view.Leaving()
	sequence, age := n.freshness.Report(now, n.contracts)
	n.mu.Unlock()
	h.Sequence = int64(sequence)
	h.FreshAgeMs = -1
	if age >= 0 {
		// Rounded up, so that the proof never appears newer than it is.
		h.FreshAgeMs = age.Milliseconds() + 1
	}
	return h
}

// observeHeartbeat records a peer's heartbeat. requestSentAt is the time at which
// this node sent the request that the heartbeat responds to, or zero if it is not
// a response.
func (n *Node) observeHeartbeat(requestSentAt time.Time, h *nodepb.HeartbeatRequest) {
	now := time.Now()
	host := ident.HostID(h.GetSender().GetHostId())
	age := time.Duration(h.GetFreshAgeMs()) * time.Millisecond
	applied := n.contracts.Sequence()
	n.mu.Lock()
	transitions := n.view.ObserveHeartbeat(now, membership.Heartbeat{
		Host:          host,
		Incarnation:   ident.Incarnation(h.GetSender().GetIncarnation()),
		DataCentre:    ident.DataCentre(h.GetSender().GetDataCentre()),
		Leaving:       h.GetLeaving(),
		Sequence:      ident.LogSequence(h.GetSequence()),
		FreshAge:      age,
		InFlight:      int(h.GetInFlight()),
		RequestSentAt: requestSentAt,
	})
	n.resetFreshnessAfterJump()
	if !requestSentAt.IsZero() {
		if h.GetFreshAgeMs() < 0 {
			age = -1
		}
		n.freshness.RecordPeerResponse(host, requestSentAt, ident.LogSequence(h.GetSequence()), age, applied)
	}
	n.mu.Unlock()
	n.observeTransitions(transitions)
	n.observeUses(now, host, h.GetUses())
	n.observeEvidence(now, host, h.GetEvidence())
}
