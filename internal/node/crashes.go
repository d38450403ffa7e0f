package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/caller"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// checkCrashes refuses a request whose content is known to crash backend
// servers.
func (n *Node) checkCrashes(request *generation.Request) error {
	n.crashesMu.Lock()
	verdict := n.crashes.Verdict(request.Fingerprint)
	n.crashesMu.Unlock()
	if verdict != quarantine.Confirmed {
		return nil
	}
	telemetry.Quarantined.Counter(n.scope, "refused").Inc(1)
	n.events.Log(logrus.WarnLevel, telemetry.EventRequestQuarantined, fieldsOf(request), "request is refused because it crashes backend servers")
	return &caller.Failure{
		Code:    callerapi.CodeRequestCrashes,
		Message: "a request with this content has crashed backend servers and is refused",
	}
}

// excludedBackends returns a function that reports whether a request must not
// run on a backend server because it is suspected of crashing servers. It
// returns nil if the request is not suspected.
func (n *Node) excludedBackends(request *generation.Request) func(ident.BackendID) bool {
	n.crashesMu.Lock()
	verdict := n.crashes.Verdict(request.Fingerprint)
	n.crashesMu.Unlock()
	if verdict == quarantine.Clear {
		return nil
	}
	return func(id ident.BackendID) bool {
		n.crashesMu.Lock()
		defer n.crashesMu.Unlock()
		return !n.crashes.MayPlace(request.Fingerprint, id)
	}
}

func (n *Node) recordAttemptStarted(request *generation.Request, id ident.BackendID, attempt ident.AttemptID) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	n.crashes.Started(attempt, request.Fingerprint, id)
}

// recordFirstToken records that an attempt has delivered its first token.
func (n *Node) recordFirstToken(attempt ident.AttemptID) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	n.crashes.FirstTokenDelivered(attempt)
}

func (n *Node) recordAttemptEnded(attempt ident.AttemptID, outcome generation.Outcome) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	if outcome == generation.OutcomeLost || outcome == generation.OutcomeDied {
		n.crashes.Lost(time.Now(), attempt)
		return
	}
	n.crashes.Finished(time.Now(), attempt, outcome == generation.OutcomeFinished)
}

// backendDied marks the requests that ran on a dead backend server as suspects
// and sends heartbeats without waiting for the next interval: until the peers
// have the report, they may place a crashing request again.
func (n *Node) backendDied(id ident.BackendID, incarnation int64) {
	n.events.Log(logrus.WarnLevel, telemetry.EventBackendState, logrus.Fields{
		telemetry.FieldBackend: id,
		"state":                "dead",
	}, "backend server died")
	n.crashesMu.Lock()
	n.crashes.Died(time.Now(), id, ident.Incarnation(incarnation))
	n.crashesMu.Unlock()
	n.requestEarlyHeartbeat()
}

// expireDeathReports drops old crash evidence and evaluates the deaths that were
// waiting for the reports of peers.
func (n *Node) expireDeathReports(now time.Time) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	n.crashes.Expire(now)
}

// crashEvidence returns the crash evidence that a peer has not received yet.
func (n *Node) crashEvidence(to ident.HostID) *nodepb.Evidence {
	now := time.Now()
	n.crashesMu.Lock()
	evidence, sequence := n.crashes.Evidence(now, n.evidenceSent[to].sequence)
	n.crashesMu.Unlock()
	return evidenceToProto(evidence, sequence)
}

// sentEvidence is the sequence up to which one incarnation of a peer has
// received crash evidence.
type sentEvidence struct {
	incarnation int64
	sequence    uint64
}

// recordEvidenceSent records that a peer has received the evidence up to
// sequence. A new incarnation of the peer has lost its state, so its sequence
// starts at zero and the next heartbeat carries all evidence.
func (n *Node) recordEvidenceSent(to ident.HostID, incarnation int64, sequence uint64) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	if last := n.evidenceSent[to]; last.incarnation != incarnation {
		n.evidenceSent[to] = sentEvidence{incarnation: incarnation}
		return
	}
	n.evidenceSent[to] = sentEvidence{incarnation, max(n.evidenceSent[to].sequence, sequence)}
}

func (n *Node) observeEvidence(now time.Time, from ident.HostID, message *nodepb.Evidence) {
	if message == nil {
		return
	}
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	n.crashes.MergeEvidence(now, evidenceFromProto(from, message))
}

func evidenceToProto(e quarantine.Evidence, sequence uint64) *nodepb.Evidence {
	m := &nodepb.Evidence{
		SentAtMs:  e.SentAt.UnixMilli(),
		Sequence:  sequence,
		Cleared:   findingsToProto(e.Cleared),
		Confirmed: findingsToProto(e.Confirmed),
	}
	for _, d := range e.Deaths {
		m.Deaths = append(m.Deaths, &nodepb.DeathReport{
			BackendId:   string(d.Server),
			Incarnation: int64(d.Incarnation),
			AtMs:        d.At.UnixMilli(),
			Running:     fingerprintsToBytes(d.Running),
			Starting:    fingerprintsToBytes(d.Starting),
		})
	}
	for _, p := range e.Suspects {
		m.Suspects = append(m.Suspects, &nodepb.SuspectPlacement{
			Fingerprint: []byte(p.Fingerprint),
			BackendId:   string(p.Server),
		})
	}
	return m
}

func evidenceFromProto(from ident.HostID, m *nodepb.Evidence) quarantine.Evidence {
	e := quarantine.Evidence{
		From:      from,
		SentAt:    time.UnixMilli(m.GetSentAtMs()),
		Cleared:   findingsFromProto(m.GetCleared()),
		Confirmed: findingsFromProto(m.GetConfirmed()),
	}
	for _, d := range m.GetDeaths() {
		e.Deaths = append(e.Deaths, quarantine.DeathReport{
			Server:      ident.BackendID(d.GetBackendId()),
			Incarnation: ident.Incarnation(d.GetIncarnation()),
			At:          time.UnixMilli(d.GetAtMs()),
			Running:     fingerprintsFromBytes(d.GetRunning()),
			Starting:    fingerprintsFromBytes(d.GetStarting()),
		})
	}
	for _, p := range m.GetSuspects() {
		e.Suspects = append(e.Suspects, quarantine.Placement{
			Fingerprint: quarantine.Fingerprint(p.GetFingerprint()),
			Server:      ident.BackendID(p.GetBackendId()),
		})
	}
	return e
}

func findingsToProto(findings []quarantine.Finding) []*nodepb.Finding {
	var messages []*nodepb.Finding
	for _, f := range findings {
		messages = append(messages, &nodepb.Finding{Fingerprint: []byte(f.Fingerprint), AtMs: f.At.UnixMilli()})
	}
	return messages
}

func findingsFromProto(messages []*nodepb.Finding) []quarantine.Finding {
	var findings []quarantine.Finding
	for _, m := range messages {
		findings = append(findings, quarantine.Finding{
			Fingerprint: quarantine.Fingerprint(m.GetFingerprint()),
			At:          time.UnixMilli(m.GetAtMs()),
		})
	}
	return findings
}

func fingerprintsToBytes(fingerprints []quarantine.Fingerprint) [][]byte {
	var raw [][]byte
	for _, f := range fingerprints {
		raw = append(raw, []byte(f))
	}
	return raw
}

func fingerprintsFromBytes(raw [][]byte) []quarantine.Fingerprint {
	var fingerprints []quarantine.Fingerprint
	for _, r := range raw {
		fingerprints = append(fingerprints, quarantine.Fingerprint(r))
	}
	return fingerprints
}
