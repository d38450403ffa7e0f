// Package front assembles a node that serves clients on a platform with a
// store of its own: it follows the store, exchanges news with its peers, and
// runs the gateway.
//
// Load pattern: any host, or all of them, disappear at any moment and come back
// with nothing; the store is down, slow or closed to some hosts for seconds. A
// node serves as soon as it has a configuration and a list of servers from the
// store or from a peer, and goes on serving with what it has.
package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// RetryLimits bound the repeats that all hosts together send to one service.
type RetryLimits struct {
	Ratio  float64 // repeats for each request
	Slack  float64 // repeats in one window besides
	Window time.Duration
}

// Settings are the static settings of a node.
type Settings struct {
	Host       ident.HostID
	DataCentre ident.DataCentre
	// Addresses to listen on, IP:port. Directory is empty if the node does not
	// serve it. Mesh carries datagrams and state calls between nodes.
	Clients, Readiness, Directory, Mesh, Operators string
	// Seeds are mesh addresses of some nodes, which may be gone.
	Seeds        []string
	StoreAddress string
	MemoryMB     int
	// Cores is the share of processor cores of the host, LinkMbps its bandwidth; 0
	// if unknown.
	Cores, LinkMbps float64
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// AddressTTL is the longest time for which clients keep a list of addresses.
	AddressTTL time.Duration
	Retry      RetryLimits
}

func (s *Settings) carries() float64 { return carried(s.Cores, s.LinkMbps) }

// Reload takes over settings that were read again. Addresses, the host's name
// and the store's address stay until the next start. With an error the present
// settings stay in force.
func (n *Node) Reload(s Settings, t Tuning, err error, why string) {
	if err != nil {
		n.log.LogError(logrus.ErrorLevel, telemetry.EventSettingsReloaded, err, logrus.Fields{"why": why}, "settings refused, the present ones stay in force")
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
	}, "settings read again")
}
