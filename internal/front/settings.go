// Package front implements a node that serves clients on a platform that has a
// store of its own. A node follows the tables of the store, exchanges state with
// its peers, and runs the gateway. A Node may be used from any goroutine.
//
// Load pattern: any host, or all of them, may disappear at any moment and return
// without state; the store may be down, slow or unreachable from some hosts for
// seconds. A node serves as soon as it has a configuration and a list of servers,
// from the store or from a peer, and continues to serve with them while it cannot
// read newer ones.
package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/backendconn"
	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// RetryLimits limit the retries that all hosts together send to one service.
type RetryLimits struct {
	Ratio  float64 // retries allowed per request
	Slack  float64 // retries allowed per window in addition
	Window time.Duration
}

// Settings are the settings of a node from the platform's settings file. Reload
// changes some of them at run time.
type Settings struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	// Addresses to listen on, as IP:port. Directory is empty if the node does not
	// serve it. Mesh is used for datagrams (UDP) and state requests (TCP) between
	// nodes.
	Clients, Readiness, Directory, Mesh, Operators string
	// Seeds are the mesh addresses of some nodes, which may no longer exist.
	Seeds        []string
	StoreAddress string
	MemoryMB     int
	MaxFDs       int // file descriptors of the process; 0 if not known
	// Cores is the number of processor cores available to the host, which may be a
	// fraction. LinkMbps is its bandwidth in Mbit/s. 0 means unknown.
	Cores, LinkMbps float64
	// Grace is the time from the request to stop until the process is killed. If it
	// is 0, a leaving node waits up to one hour for the requests in flight.
	Grace time.Duration
	// AddressTTL is how long clients may keep a list of addresses; at most
	// maxAddressTTL is used.
	AddressTTL time.Duration
	Retry      RetryLimits
	// Rollout bounds roll-outs. The zero value switches them off.
	Rollout rollout.Limits
	// Dial opens connections to backend servers; nil stands for the default. Tests replace
	// it to cut the paths of single hosts.
	Dial backendconn.DialFunc
	// ConfigDeadline is the time within which a configuration must be in force on every
	// node after it was written; 0 if there is none.
	ConfigDeadline time.Duration
}

func (s *Settings) capacity() float64 { return hostCapacity(s.Cores, s.LinkMbps) }

// Reload applies settings that were read again. The addresses, the name of the
// host and the address of the store change only at a restart. If err is not nil,
// the settings in force are kept. why is the reason for the reload and is logged.
func (n *Node) Reload(s Settings, t Tuning, err error, why string) {
	if err != nil {
		n.log.LogError(logrus.ErrorLevel, telemetry.EventSettingsReloaded, err, logrus.Fields{"why": why}, "invalid settings, keeping those in force")
		return
	}
	n.gateway.Budgets.SetLimits(s.Retry.Ratio, s.Retry.Slack)
	n.addressTTL.Store(int64(s.AddressTTL))
	n.grace.Store(int64(s.Grace))
	n.mesh.Seed(s.Seeds)
	n.Tune(t)
	n.log.Log(logrus.InfoLevel, telemetry.EventSettingsReloaded, logrus.Fields{
		"why": why, "retry_ratio": s.Retry.Ratio, "retry_slack": s.Retry.Slack, "grace": s.Grace.String(), "address_ttl": s.AddressTTL.String(),
		"resume_weight": t.Resume.Weight,
	}, "settings reloaded")
}
