package fleetsim

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
)

// Policy chooses the engine that reads the prompt of a stream.
type Policy func(p *play, h *host, s *stream) (fleet.Choice, bool)

// ByExpectedTime is the product's placement.
func ByExpectedTime(p *play, h *host, s *stream) (fleet.Choice, bool) {
	choice, ok := h.fleet.Engine(p.clock(), service, p.setup.Memory, s.prompt(), s.exclude)
	if !ok && len(s.exclude) > 0 {
		return h.fleet.Engine(p.clock(), service, p.setup.Memory, s.prompt(), nil)
	}
	return choice, ok
}

// LeastReported takes the engine with the least reported load.
func LeastReported(p *play, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(p, h, func(list []*fleet.Server) *fleet.Server {
		return slices.MinFunc(list, func(a, b *fleet.Server) int {
			return cmp.Compare(h.fleet.ReportedLoad(a), h.fleet.ReportedLoad(b))
		})
	})
}

// Random takes any engine.
func Random(p *play, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(p, h, func(list []*fleet.Server) *fleet.Server { return list[0] })
}

// RoundRobin takes the engines of each host in turn.
func RoundRobin(p *play, h *host, _ *stream) (fleet.Choice, bool) {
	return pick(p, h, func(list []*fleet.Server) *fleet.Server {
		slices.SortFunc(list, func(a, b *fleet.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
		h.turn++
		return list[h.turn%len(list)]
	})
}

// pick applies a rule to the usable engines in random order.
func pick(p *play, h *host, rule func([]*fleet.Server) *fleet.Server) (fleet.Choice, bool) {
	list := h.fleet.Usable(p.clock(), service)
	if len(list) == 0 {
		return fleet.Choice{}, false
	}
	// The order of the fleet's map must not decide.
	slices.SortFunc(list, func(a, b *fleet.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	p.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return fleet.Choice{Server: rule(list), Free: 1, Prefill: time.Second}, true
}
