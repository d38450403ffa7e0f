package operatorapi

// Rollouts is the response body of RouteRollouts: the roll-outs that a node knows.
type Rollouts struct {
	HostID      string    `json:"host_id"`
	Coordinator string    `json:"coordinator"` // host that decides; only its answers hold evidence
	Rollouts    []Rollout `json:"rollouts"`
}

// Rollout is one order of the operator to move a service to a version.
type Rollout struct {
	Service    string  `json:"service"`
	To         string  `json:"to"`
	Order      string  `json:"order"` // position of the order in the store
	Phase      string  `json:"phase"`
	Share      float64 `json:"share"`   // of the new requests, for the new version
	Servers    int     `json:"servers"` // of the new version that get them; 0 for all
	ElapsedMs  int64   `json:"elapsed_ms"`
	DurationMs int64   `json:"duration_ms"`
	Reason     string  `json:"reason"`
	// Next tells what would change the phase. It is empty on other hosts than the coordinator.
	Next     string            `json:"next,omitempty"`
	SentNew  uint32            `json:"sent_new,omitempty"` // requests to the new version
	Sent     uint32            `json:"sent,omitempty"`     // requests to the service
	Evidence []RolloutEvidence `json:"evidence,omitempty"`
}

// RolloutEvidence compares the answers of the two versions on one route. Bad answers are
// failures and slow ones.
type RolloutEvidence struct {
	Route      string  `json:"route"`
	OldAnswers uint32  `json:"old_answers"`
	OldBad     uint32  `json:"old_bad"`
	NewAnswers uint32  `json:"new_answers"`
	NewBad     uint32  `json:"new_bad"`
	NewFailed  uint32  `json:"new_failed"`
	Ratio      float64 `json:"ratio"` // logarithm of the likelihood ratio against the new version
}
