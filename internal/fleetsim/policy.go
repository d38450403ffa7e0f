package fleetsim

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
)

// Policy chooses the engine that reads the prompt of a stream.
type Policy func(sim *simulation, h *host, s *stream) (fleet.Choice, bool)

// ByExpectedTime is the placement used in production. It chooses an engine by the
// expected time to the first token, and excludes those on which the stream has failed
// unless no other engine is usable.
func ByExpectedTime(sim *simulation, h *host, s *stream) (fleet.Choice, bool) {
	choice, ok := h.fleet.ChooseEngine(sim.clock(), service, sim.setup.MemoryTokens, s.prompt(), s.exclude)
	if !ok && len(s.exclude) > 0 {
		return h.fleet.ChooseEngine(sim.clock(), service, sim.setup.MemoryTokens, s.prompt(), nil)
	}
	return choice, ok
}

// LeastReportedLoad chooses the engine with the lowest reported load.
func LeastReportedLoad(sim *simulation, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(sim, h, func(servers []*fleet.Server) *fleet.Server {
		return slices.MinFunc(servers, func(a, b *fleet.Server) int {
			return cmp.Compare(h.fleet.ReportedLoad(a), h.fleet.ReportedLoad(b))
		})
	})
}

// Random chooses an engine at random.
func Random(sim *simulation, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(sim, h, func(servers []*fleet.Server) *fleet.Server { return servers[0] })
}

// RoundRobin chooses the engines in turn, with a separate counter for each host.
func RoundRobin(sim *simulation, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(sim, h, func(servers []*fleet.Server) *fleet.Server {
		slices.SortFunc(servers, func(a, b *fleet.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
		h.roundRobinNext++
		return servers[h.roundRobinNext%len(servers)]
	})
}

// pick returns the engine that a rule selects from the usable engines, which are passed
// to it in random order.
func pick(sim *simulation, h *host, rule func([]*fleet.Server) *fleet.Server) (fleet.Choice, bool) {
	servers := h.fleet.Accepting(sim.clock(), service, "")
	if len(servers) == 0 {
		return fleet.Choice{}, false
	}
	// Sort first, so that the result depends only on the seed and not on the order in
	// which Usable returns the servers.
	slices.SortFunc(servers, func(a, b *fleet.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	sim.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	// Only admission control reads FreeMemory and Prefill, so these are placeholders.
	return fleet.Choice{Server: rule(servers), FreeMemory: 1, Prefill: time.Second}, true
}
