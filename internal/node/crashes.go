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

// checkCrashes refuses a request that is known to crash backend servers.
func (n *Node) checkCrashes(request *generation.Request) error {
	n.crashesMu.Lock()
	verdict := n.crashes.Verdict(request.Fingerprint)
	n.crashesMu.Unlock()
	if verdict != quarantine.Confirmed {
		return nil
	}
	n.events.Log(logrus.WarnLevel, telemetry.EventRequestQuarantined, fieldsOf(request), "request is refused because it crashes backend servers")
	return &caller.Failure{
		Code:    callerapi.CodeRequestCrashes,
		Message: "a request with this content has crashed backend servers and is refused",
	}
}

// forbiddenFor tells on which backend servers a request must not run because
// it is suspected of crashing them.
func (n *Node) forbiddenFor(request *generation.Request) func(ident.BackendID) bool {
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

func (n *Node) startedOn(request *generation.Request, id ident.BackendID, attempt ident.AttemptID) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	n.crashes.Started(attempt, request.Fingerprint, id)
}

// answeredOn records the first token of an attempt.
func (n *Node) answeredOn(attempt ident.AttemptID) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	n.crashes.Answered(attempt)
}

func (n *Node) finishedOn(attempt ident.AttemptID, outcome generation.Outcome) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	if outcome == generation.OutcomeLost || outcome == generation.OutcomeDied {
		n.crashes.Lost(time.Now(), attempt)
		return
	}
	n.crashes.Finished(time.Now(), attempt, outcome == generation.OutcomeFinished)
}

// backendDied makes suspects of what ran on a backend server that died, and
// tells the peers at once: until they know, they may place a crashing request
// again.
func (n *Node) backendDied(id ident.BackendID, incarnation int64) {
	n.events.Log(logrus.WarnLevel, telemetry.EventBackendState, logrus.Fields{
		telemetry.FieldBackend: id,
		"state":                "dead",
	}, "backend server died")
	n.crashesMu.Lock()
	n.crashes.Died(time.Now(), id, ident.Incarnation(incarnation))
	n.crashesMu.Unlock()
	select {
	case n.beat <- struct{}{}:
	default:
	}
}

// judgeCrashes judges deaths that waited for the reports of peers.
func (n *Node) judgeCrashes(now time.Time) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	n.crashes.Expire(now)
}

// crashEvidence returns what a peer has not been told yet.
func (n *Node) crashEvidence(to ident.HostID) *nodepb.Evidence {
	now := time.Now()
	n.crashesMu.Lock()
	evidence, sequence := n.crashes.Evidence(now, n.told[to].sequence)
	n.crashesMu.Unlock()
	return evidenceMessage(evidence, sequence)
}

// toldEvidence is how much crash evidence one incarnation of a peer received.
type toldEvidence struct {
	incarnation int64
	sequence    uint64
}

// evidenceTold records that a peer has received evidence up to a sequence. A new
// incarnation of it knows nothing and is told everything next time.
func (n *Node) evidenceTold(to ident.HostID, incarnation int64, sequence uint64) {
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	if last := n.told[to]; last.incarnation != incarnation {
		n.told[to] = toldEvidence{incarnation: incarnation}
		return
	}
	n.told[to] = toldEvidence{incarnation, max(n.told[to].sequence, sequence)}
}

func (n *Node) observeEvidence(now time.Time, from ident.HostID, message *nodepb.Evidence) {
	if message == nil {
		return
	}
	n.crashesMu.Lock()
	defer n.crashesMu.Unlock()
	n.crashes.Learn(now, evidenceOf(from, message))
}

func evidenceMessage(e quarantine.Evidence, sequence uint64) *nodepb.Evidence {
	m := &nodepb.Evidence{
		SentAtMs:  e.SentAt.UnixMilli(),
		Sequence:  sequence,
		Cleared:   findingMessages(e.Cleared),
		Confirmed: findingMessages(e.Confirmed),
	}
	for _, d := range e.Deaths {
		m.Deaths = append(m.Deaths, &nodepb.DeathReport{
			BackendId:   string(d.Server),
			Incarnation: int64(d.Incarnation),
			AtMs:        d.At.UnixMilli(),
			Running:     fingerprintBytes(d.Running),
			Starting:    fingerprintBytes(d.Starting),
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

func evidenceOf(from ident.HostID, m *nodepb.Evidence) quarantine.Evidence {
	e := quarantine.Evidence{
		From:      from,
		SentAt:    time.UnixMilli(m.GetSentAtMs()),
		Cleared:   findingsOf(m.GetCleared()),
		Confirmed: findingsOf(m.GetConfirmed()),
	}
	for _, d := range m.GetDeaths() {
		e.Deaths = append(e.Deaths, quarantine.DeathReport{
			Server:      ident.BackendID(d.GetBackendId()),
			Incarnation: ident.Incarnation(d.GetIncarnation()),
			At:          time.UnixMilli(d.GetAtMs()),
			Running:     fingerprintsOf(d.GetRunning()),
			Starting:    fingerprintsOf(d.GetStarting()),
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

func findingMessages(findings []quarantine.Finding) []*nodepb.Finding {
	var messages []*nodepb.Finding
	for _, f := range findings {
		messages = append(messages, &nodepb.Finding{Fingerprint: []byte(f.Fingerprint), AtMs: f.At.UnixMilli()})
	}
	return messages
}

func findingsOf(messages []*nodepb.Finding) []quarantine.Finding {
	var findings []quarantine.Finding
	for _, m := range messages {
		findings = append(findings, quarantine.Finding{
			Fingerprint: quarantine.Fingerprint(m.GetFingerprint()),
			At:          time.UnixMilli(m.GetAtMs()),
		})
	}
	return findings
}

func fingerprintBytes(fingerprints []quarantine.Fingerprint) [][]byte {
	var raw [][]byte
	for _, f := range fingerprints {
		raw = append(raw, []byte(f))
	}
	return raw
}

func fingerprintsOf(raw [][]byte) []quarantine.Fingerprint {
	var fingerprints []quarantine.Fingerprint
	for _, r := range raw {
		fingerprints = append(fingerprints, quarantine.Fingerprint(r))
	}
	return fingerprints
}
