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
	// rediscoverEvery is how often a node looks for the successors of lost
	// engines while the store does not answer.
	rediscoverEvery = 400 * time.Millisecond
	// rediscoverAtOnce bounds the engines that one node asks in one round.
	rediscoverAtOnce = 4
)

// rediscover finds engines that crashed and came back at the same address while
// the list of servers cannot be read. It ends what it found once the list has
// been readable for long enough and lacks it.
func (n *Node) rediscover(ctx context.Context) {
	ticker := time.NewTicker(rediscoverEvery)
	defer ticker.Stop()
	for round := uint64(0); ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if n.serversAge(now) < storeStale {
			if back := n.storeBackAt.Load(); back != 0 && now.UnixNano()-back > int64(2*lapseWindow) {
				n.fleet.DropUnlisted()
			}
			continue
		}
		if service := n.engineService(); service != nil {
			n.askMissing(now, service, round)
		}
	}
}

// engineService returns the only service with engines, or nil.
func (n *Node) engineService() *routing.Service {
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

// askMissing asks this node's part of the lost engines. The parts of the nodes
// change each round, so that each engine is asked by some node that lives.
func (n *Node) askMissing(now time.Time, service *routing.Service, round uint64) {
	hosts := []ident.HostID{n.settings.Host}
	for _, m := range n.mesh.Alive(now) {
		hosts = append(hosts, m.Host)
	}
	asked := 0
	for _, s := range n.fleet.Missing(now, service.Name) {
		if asked == rediscoverAtOnce {
			return
		}
		if first(hosts, string(s.ID), round) != n.settings.Host {
			continue
		}
		asked++
		e, ok := n.gateway.Successor(s, service)
		if !ok || !n.fleet.Found(time.Now(), e) {
			continue
		}
		n.mesh.Found(e)
		n.log.Log(logrus.InfoLevel, telemetry.EventBackendListed, logrus.Fields{
			telemetry.FieldBackend: e.ID, "address": e.Address, "successor_of": s.ID, "store_age_ms": n.serversAge(now).Milliseconds(),
		}, "backend server found without the list")
	}
}

// first ranks hosts for a key in a round by rendezvous hashing.
func first(hosts []ident.HostID, key string, round uint64) ident.HostID {
	var best ident.HostID
	var rank uint64
	for _, h := range hosts {
		if r := xxh3.HashStringSeed(key+"/"+string(h), round); best == "" || r > rank {
			best, rank = h, r
		}
	}
	return best
}
