package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

const (
	// rediscoverInterval is the interval at which a node probes for the
	// successors of lost engines while the store does not answer.
	rediscoverInterval = 400 * time.Millisecond
	// maxProbesPerRound is the maximum number of engines that one node probes in
	// one round.
	maxProbesPerRound = 4
)

// rediscover finds engines that crashed and restarted at the same address while
// the list of servers cannot be read. Once the list has been readable for
// 2*lapseWindow, it removes the servers found this way that are not on the list.
func (n *Node) rediscover(ctx context.Context) {
	round := uint64(0)
	every(ctx, rediscoverInterval, func(now time.Time) {
		round++
		if n.serversAge(now) < storeStaleAfter {
			if !n.storeRecoveredAt.Load().IsZero() && n.storeRecoveredAt.since(now) > 2*lapseWindow {
				n.fleet.DropUnlisted(now)
			}
			return
		}
		if service := n.onlyEngineService(); service != nil {
			n.probeMissing(now, service, round)
		}
	})
}

// onlyEngineService returns the service that has engines, or nil if there is none
// or more than one.
func (n *Node) onlyEngineService() *routing.Service {
	table := n.routes.Current()
	if table == nil {
		return nil
	}
	var only *routing.Service
	for i := range table.Services {
		if table.Services[i].Engine == nil {
			continue
		}
		if only != nil {
			return nil
		}
		only = &table.Services[i]
	}
	return only
}

// probeMissing probes the addresses of this node's share of the lost engines. The
// engines are divided among the nodes anew in each round, so that each engine is
// eventually probed by a node that is alive.
func (n *Node) probeMissing(now time.Time, service *routing.Service, round uint64) {
	hosts := []ident.HostID{n.settings.Host}
	for _, m := range n.mesh.Alive(now) {
		hosts = append(hosts, m.Host)
	}
	probed := 0
	for _, s := range n.fleet.Missing(now, service.Name) {
		if probed == maxProbesPerRound {
			return
		}
		if rendezvousHost(hosts, string(s.ID), round) != n.settings.Host {
			continue
		}
		probed++
		e, ok := n.gateway.Successor(s, service)
		if !ok || !n.fleet.AddDiscovered(time.Now(), e) {
			continue
		}
		n.mesh.Found(e)
		n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
			telemetry.FieldBackend: e.ID, "address": e.Address, "successor_of": s.ID, "store_age_ms": n.serversAge(now).Milliseconds(),
		}, "backend server found without the list")
	}
}

// rendezvousHost returns the host responsible for a key in a round, by rendezvous
// hashing.
func rendezvousHost(hosts []ident.HostID, key string, round uint64) ident.HostID {
	var best ident.HostID
	var rank uint64
	for _, h := range hosts {
		if r := xxh3.HashStringSeed(key+"/"+string(h), round); best == "" || r > rank {
			best, rank = h, r
		}
	}
	return best
}
