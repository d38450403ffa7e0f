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

	"github.com/yuccahatch/yuccahatch/internal/ident"
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
	StoreAddress                                   string
	MemoryMB                                       int
	// Grace is the time from the request to stop until the process is killed.
	Grace time.Duration
	// AddressTTL is the longest time for which clients keep a list of addresses.
	AddressTTL time.Duration
	Retry      RetryLimits
}
