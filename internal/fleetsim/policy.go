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

// ByExpectedTime is the placement of the product, by the expected time to the first
// token.
func ByExpectedTime(sim *simulation, h *host, s *stream) (fleet.Choice, bool) {
	choice, ok := h.fleet.ChooseEngine(sim.clock(), service, sim.setup.Memory, s.prompt(), s.exclude)
	if !ok && len(s.exclude) > 0 {
		return h.fleet.ChooseEngine(sim.clock(), service, sim.setup.Memory, s.prompt(), nil)
	}
	return choice, ok
}

// LeastReportedLoad chooses the engine with the lowest reported load.
func LeastReportedLoad(sim *simulation, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(sim, h, func(list []*fleet.Server) *fleet.Server {
		return slices.MinFunc(list, func(a, b *fleet.Server) int {
			return cmp.Compare(h.fleet.ReportedLoad(a), h.fleet.ReportedLoad(b))
		})
	})
}

// Random chooses an engine at random.
func Random(sim *simulation, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(sim, h, func(list []*fleet.Server) *fleet.Server { return list[0] })
}

// RoundRobin chooses the engines in turn, with a separate counter for each host.
func RoundRobin(sim *simulation, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(sim, h, func(list []*fleet.Server) *fleet.Server {
		slices.SortFunc(list, func(a, b *fleet.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
		h.roundRobinNext++
		return list[h.roundRobinNext%len(list)]
	})
}

// pick returns the engine that a rule selects from the usable engines, which are passed
// to it in random order.
func pick(sim *simulation, h *host, rule func([]*fleet.Server) *fleet.Server) (fleet.Choice, bool) {
	list := h.fleet.Usable(sim.clock(), service)
	if len(list) == 0 {
		return fleet.Choice{}, false
	}
	// Sort first, so that the result does not depend on the map's iteration order.
	slices.SortFunc(list, func(a, b *fleet.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	sim.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return fleet.Choice{Server: rule(list), FreeMemory: 1, Prefill: time.Second}, true
}
