// Package node assembles a node: it connects the HTTP and gRPC servers, the
// clients of the platform and of backend servers, and the policy packages
// (membership, contracts, admission, placement, resumption). A Node holds the
// state of the process, guarded by the mutexes named in its fields; request
// handlers and the workers that Run starts use it concurrently.
package node

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccahatch/yuccahatch/internal/admission"
	"github.com/yuccahatch/yuccahatch/internal/audit"
	"github.com/yuccahatch/yuccahatch/internal/backendpool"
	"github.com/yuccahatch/yuccahatch/internal/claimwriter"
	"github.com/yuccahatch/yuccahatch/internal/contractlog"
	"github.com/yuccahatch/yuccahatch/internal/contractset"
	"github.com/yuccahatch/yuccahatch/internal/cursor"
	"github.com/yuccahatch/yuccahatch/internal/detect"
	"github.com/yuccahatch/yuccahatch/internal/explain"
	"github.com/yuccahatch/yuccahatch/internal/gate"
	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/idempotent"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/membership"
	"github.com/yuccahatch/yuccahatch/internal/peer/backend"
	"github.com/yuccahatch/yuccahatch/internal/peer/hostlist"
	peernode "github.com/yuccahatch/yuccahatch/internal/peer/node"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
	"github.com/yuccahatch/yuccahatch/internal/peer/objects"
	"github.com/yuccahatch/yuccahatch/internal/peer/table"
	"github.com/yuccahatch/yuccahatch/internal/placement"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
	"github.com/yuccahatch/yuccahatch/internal/replica"
	"github.com/yuccahatch/yuccahatch/internal/retrybudget"
	"github.com/yuccahatch/yuccahatch/internal/settings"
	"github.com/yuccahatch/yuccahatch/internal/share"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// Node is one node of the deployment. New creates it and Run serves until the
// node leaves.
type Node struct {
	settings    *settings.Settings
	host        ident.HostID
	dataCentre  ident.DataCentre
	incarnation ident.Incarnation

	events      *telemetry.EventLog
	scope       tally.Scope
	metricsPage http.Handler
	observer    *observer
	explain     *explain.Store
	traces      *explain.Traces
	archive     *explain.Archive

	logger       *logrus.Entry
	table        table.Table
	objects      *objects.Client
	hostList     *hostlist.Client
	trail        *audit.Trail
	log          *contractlog.Log
	follower     *contractlog.Follower
	claims       *claimwriter.Writer
	calls        *idempotent.Executor
	replicator   *replica.Replicator
	copies       *copyStore
	cursors      *cursor.Codec
	contracts    *contractset.Set
	backends     *backendpool.Pool
	gate         *gate.Gate
	peers        *peernode.Pool
	certificates *peernode.Certificates
	runs         *runs
	// markedLeaving is closed when the host list marks this host as leaving.
	markedLeaving chan struct{}

	// mu guards ledger, lastLoanRequest, meanEstimate, view, freshness, listed and
	// the contents of unmetDemand: the state about other nodes and about demand.
	mu     sync.Mutex
	ledger *share.Ledger
	// lastLoanRequest is the time of the last early request for loans, by team.
	lastLoanRequest map[ident.Team]time.Time
	// meanEstimate is the mean estimated cost of a request in tokens.
	meanEstimate float64
	view         *membership.View
	freshness    *contractset.Freshness
	listed       []ident.HostID

	// lastCopyStats holds the totals at the last report. Only the goroutine that
	// runs reportCopies uses it.
	lastCopyStats replica.Stats
	// avoidMu guards avoidReplicaUntil, the time until which a node is not chosen
	// as replica.
	avoidMu           sync.Mutex
	avoidReplicaUntil map[ident.HostID]time.Time

	// crashesMu guards crashes and evidenceSent, the crash evidence that each peer
	// has received.
	crashesMu    sync.Mutex
	crashes      *quarantine.Tracker
	evidenceSent map[ident.HostID]sentEvidence

	// budgetMu guards budget.
	budgetMu sync.Mutex
	budget   *retrybudget.Budget

	unmetDemand *unmetDemand

	// earlyHeartbeat signals that heartbeats are to be sent before the next
	// interval. It has a buffer of one, so that requests coalesce.
	earlyHeartbeat chan struct{}

	// detectorsMu guards detectors, which holds one detector per model.
	detectorsMu sync.Mutex
	detectors   map[string]*detect.Detector
}

// New returns a node with the given settings. Run starts it.
func New(s *settings.Settings) (*Node, error) {
	now := time.Now()
	n := &Node{
		settings:          s,
		host:              ident.HostID(s.Host.ID),
		dataCentre:        ident.DataCentre(s.Host.DataCentre),
		incarnation:       ident.Incarnation(now.UnixNano()),
		contracts:         contractset.New(),
		runs:              newRuns(),
		avoidReplicaUntil: map[ident.HostID]time.Time{},
		markedLeaving:     make(chan struct{}),
		detectors:         map[string]*detect.Detector{},
		crashes:           quarantine.New(ident.HostID(s.Host.ID)),
		evidenceSent:      map[ident.HostID]sentEvidence{},
		lastLoanRequest:   map[ident.Team]time.Time{},
		meanEstimate:      expectedOutputTokens,
		earlyHeartbeat:    make(chan struct{}, 1),
	}
	n.unmetDemand = &unmetDemand{node: n, tokens: map[string]float64{}, decayedAt: now}
	for _, set := range []func(time.Time) error{n.setUpTelemetry, n.setUpSecurity, n.setUpPlatform, n.setUpPolicy} {
		if err := set(now); err != nil {
			return nil, err
		}
	}
	return n, nil
}

func (n *Node) setUpTelemetry(time.Time) error {
	s := n.settings
	n.logger = telemetry.NewLogger(os.Stderr, s.Log.Level, s.Host.ID, s.Host.DataCentre)
	n.events = telemetry.NewEventLog(n.logger)
	scope, page, _, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	n.scope = scope
	n.metricsPage = page
	n.explain = explain.NewStore(n.host)
	n.traces = explain.NewTraces(n.host)
	n.observer = newObserver(n.events, n.explain, scope)
	return nil
}

func (n *Node) setUpSecurity(time.Time) error {
	security := n.settings.Security
	key, err := os.ReadFile(security.CursorKeyFile)
	if err != nil {
		return newError(CodeStart).Wrapf(err, "read cursor key")
	}
	if n.cursors, err = cursor.NewCodec(key); err != nil {
		return newError(CodeStart).Wrapf(err, "invalid cursor key in %s", security.CursorKeyFile)
	}
	if n.settings.TLS() {
		n.certificates, err = peernode.LoadCertificates(peernode.CertificateFiles{
			Authority:   security.CAFile,
			Certificate: security.CertificateFile,
			PrivateKey:  security.PrivateKeyFile,
		})
		if err != nil {
			return newError(CodeStart).Wrapf(err, "load certificates")
		}
	}
	n.peers = peernode.NewPool(peernode.PoolOptions{Certificates: n.certificates})
	n.setUpCopies()
	return nil
}

func (n *Node) setUpPlatform(time.Time) error {
	platform := n.settings.Platform
	n.table = table.NewClient(platform.URL, platform.Timeout.Duration)
	n.objects = objects.NewClient(platform.URL, platform.Timeout.Duration)
	n.hostList = hostlist.NewClient(platform.URL, platform.Timeout.Duration)
	n.trail = audit.NewTrail(n.table, n.logger, n.scope)
	n.log = contractlog.New(n.table, n.trail, n.host, time.Now)
	n.follower = contractlog.NewFollower(n.log, n.contracts)
	n.claims = claimwriter.New(n.table, n.logger, n.scope)
	n.calls = idempotent.New(idempotent.Config{
		Host:        n.host,
		Incarnation: n.incarnation,
		Claims:      n.claims,
		Sender:      callSender{n},
		Objects:     n.objects,
		SendTimeout: callTimeout,
		Log:         n.logger,
		Metrics:     n.scope,
	})
	n.archive = explain.NewArchive(explain.ArchiveConfig{
		Host:    n.host,
		Objects: n.objects,
		Store:   n.explain,
		Traces:  n.traces,
		Hosts:   n.hostCount,
		Events:  n.events,
		Scope:   n.scope,
	})
	return nil
}

func (n *Node) setUpPolicy(now time.Time) error {
	s := n.settings
	var err error
	n.view, err = membership.New(membership.Self{
		Host:          n.host,
		Incarnation:   n.incarnation,
		DataCentre:    n.dataCentre,
		Address:       s.Listen.Nodes.String(),
		CallerAddress: s.Listen.Callers.String(),
	}, membership.Config{
		SuspectAfter: s.Membership.SuspectAfter.Duration,
		DeadAfter:    s.Membership.DeadAfter.Duration,
		LeaveGrace:   s.Leave.Grace.Duration,
	}, now)
	if err != nil {
		return err
	}
	if n.ledger, err = share.New(n.host, n.incarnation, share.Config{}, now); err != nil {
		return err
	}
	n.budget, err = retrybudget.New(retrybudget.Config{
		Base:          float64(s.Resume.BudgetMinimum),
		PerGeneration: s.Resume.BudgetRatio,
	}, now)
	if err != nil {
		return err
	}
	n.freshness = contractset.NewFreshness(n.host, s.Contracts.StalenessLimit.Duration, now)
	seed := uint64(n.incarnation)
	n.gate, err = gate.New(admission.Config{
		QueueLimit: s.Admission.QueueRequestsPerTeam,
		MaxWait:    s.Admission.MaxWait.Duration,
		Burst:      limitBurst,
		MaxRetry:   maxRetryAfter,
	}, n.recheckQueued, seed)
	if err != nil {
		return err
	}
	n.backends, err = backendpool.New(placement.Config{DataCentre: n.dataCentre}, backend.NewClient(), seed, backendpool.Hooks{
		Died:     n.backendDied,
		Answered: n.recordFirstToken,
	})
	return err
}

// detector returns the detector that sets the timeouts of a model's token
// streams, and creates it on first use.
func (n *Node) detector(model string) *detect.Detector {
	n.detectorsMu.Lock()
	defer n.detectorsMu.Unlock()
	d, ok := n.detectors[model]
	if !ok {
		s := n.settings.Detection
		d = detect.New(detect.Limits{
			Minimum:     s.Minimum.Duration,
			Maximum:     s.Maximum.Duration,
			GapMultiple: s.GapMultiple,
		})
		n.detectors[model] = d
	}
	return d
}

func (n *Node) sender() *nodepb.Sender {
	return &nodepb.Sender{
		HostId:      string(n.host),
		Incarnation: int64(n.incarnation),
		DataCentre:  string(n.dataCentre),
	}
}

// clientOf returns the client of a node in the membership view.
func (n *Node) clientOf(host ident.HostID) (peernode.Client, error) {
	n.mu.Lock()
	node, ok := n.view.Node(host)
	n.mu.Unlock()
	if !ok || node.Address == "" {
		return nil, newError(CodeUnknownHost).Errorf("host %q is not known", host)
	}
	return n.peers.Client(node.Address)
}

func (n *Node) generationDeps() generation.Deps {
	return generation.Deps{
		Host:     n.host,
		Backends: n.backends,
		Placer:   placer{n},
		Replicas: n.replicas(),
		Cursors:  n.cursors,
		Detector: func(model string) generation.Detector { return n.detector(model) },
		Observer: n.observer,
		Trace:    n.traces,
		Config:   n.continuationConfig(),
	}
}
