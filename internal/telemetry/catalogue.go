package telemetry

// Metrics of a node. Each label must have a small number of values; it must never be
// a request, generation or attempt id.
var (
	RequestsTotal           = Metric{"requests_total", Counter, "requests", []string{"customer", "outcome"}, "Finished requests by outcome."}
	RequestsInFlight        = Metric{"requests_in_flight", Gauge, "requests", nil, "Requests in flight."}
	FirstTokenSeconds       = Metric{"first_token_seconds", Histogram, "seconds", nil, "Time from a request to its first token."}
	TokenGapSeconds         = Metric{"token_gap_seconds", Histogram, "seconds", nil, "Time between tokens sent to a caller."}
	TokensAccepted          = Metric{"tokens_accepted_total", Counter, "tokens", nil, "Tokens accepted into journals."}
	TokensDiscarded         = Metric{"tokens_discarded_total", Counter, "tokens", []string{"reason"}, "Tokens from engines that were not accepted."}
	TokensRecomputed        = Metric{"tokens_recomputed_total", Counter, "tokens", []string{"part"}, "Prompt and answer tokens that engines computed again for resumes."}
	AttemptsTotal           = Metric{"attempts_total", Counter, "attempts", []string{"reason"}, "Attempts opened, by reason."}
	ResumesTotal            = Metric{"resumes_total", Counter, "resumes", []string{"way"}, "Interrupted answers that continued, by way."}
	ResumeSeconds           = Metric{"resume_seconds", Histogram, "seconds", nil, "Time from the last token before a loss to the next one."}
	RetryBudget             = Metric{"retry_budget", Gauge, "resumes", nil, "Resumes that the retry budget permits now."}
	CopyTokens              = Metric{"copy_tokens_total", Counter, "tokens", nil, "Tokens sent to replica nodes."}
	CopyBytes               = Metric{"copy_bytes_total", Counter, "bytes", nil, "Bytes of journal copies sent to replica nodes."}
	CopyBatches             = Metric{"copy_batches_total", Counter, "messages", nil, "Messages with journal copies sent to replica nodes."}
	CopiesUnprotected       = Metric{"copies_unprotected_total", Counter, "releases", nil, "Releases of tokens without an acknowledged copy."}
	CopiesMoved             = Metric{"copies_moved_total", Counter, "generations", nil, "Journals sent in whole to another replica node."}
	CopyAcknowledgeSeconds  = Metric{"copy_acknowledge_seconds", Histogram, "seconds", nil, "Time from a release request to the acknowledgement of its copy."}
	CopiesHeldBytes         = Metric{"copies_held_bytes", Gauge, "bytes", nil, "Memory of copies held for other nodes."}
	CopiesEvicted           = Metric{"copies_evicted_total", Counter, "generations", []string{"reason"}, "Copies dropped before their generation finished."}
	RingDropped             = Metric{"ring_dropped_total", Counter, "values", []string{"ring"}, "Values that a full ring refused."}
	Refused                 = Metric{"refused_total", Counter, "requests", []string{"code"}, "Requests refused by public error code."}
	QueueLength             = Metric{"queue_length", Gauge, "requests", []string{"priority"}, "Requests waiting for admission."}
	ContractSequence        = Metric{"contract_sequence", Gauge, "sequence", nil, "Newest contract change in force."}
	ContractFreshAgeSeconds = Metric{"contract_fresh_age_seconds", Gauge, "seconds", nil, "Age of the newest proof that the contracts are current."}
	Isolated                = Metric{"isolated", Gauge, "0 or 1", nil, "Whether the node refuses new work because it is isolated."}
	Peers                   = Metric{"peers", Gauge, "nodes", []string{"state"}, "Other nodes by state."}
	PeerCalls               = Metric{"peer_calls_total", Counter, "calls", []string{"method", "code"}, "Calls of other nodes; code is empty for success."}
	PlatformCalls           = Metric{"platform_calls_total", Counter, "calls", []string{"service", "code"}, "Calls of the platform; code is empty for success."}
	Claims                  = Metric{"claims_total", Counter, "calls", []string{"outcome"}, "Non-idempotent calls by outcome."}
	Backends                = Metric{"backends", Gauge, "servers", []string{"kind", "state"}, "Backend servers by state."}
	Quarantined             = Metric{"quarantined_total", Counter, "requests", []string{"stage"}, "Requests suspected or confirmed to crash backend servers."}
	ExplainObjects          = Metric{"explain_objects_total", Counter, "objects", []string{"outcome"}, "Writes of explanations to the object store by outcome."}
	RoutedRequests          = Metric{"routed_requests_total", Counter, "requests", []string{"kind", "outcome"}, "Requests of a gateway by kind of route and outcome."}
	RoutedSeconds           = Metric{"routed_request_seconds", Histogram, "seconds", []string{"kind"}, "Time from a request to the end of its answer, by kind of route."}
	InvalidEras             = Metric{"store_invalid_eras_total", Counter, "answers", nil, "Answers of the platform's store whose era was invalid."}
	InvalidHeaders          = Metric{"backend_invalid_headers_total", Counter, "headers", nil, "Headers of backend servers that were ignored because their values were invalid."}
	Probes                  = Metric{"backend_probes_total", Counter, "calls", nil, "Calls that ask a backend server for its state."}
	BackendSends            = Metric{"backend_sends_total", Counter, "requests", []string{"purpose"}, "Requests sent to backend servers: first attempts, repeats of calls and streams, and calls of the node's own."}
	BackendSkipped          = Metric{"backend_skipped_answers_total", Counter, "answers", nil, "Answers of backend servers to other requests that were skipped, such as late copies."}
	BackendDenied           = Metric{"backend_limit_denied_total", Counter, "requests", nil, "Requests that were not sent to a backend server because of the limit that it names."}
	AssignmentsDeclined     = Metric{"dispatch_declined_total", Counter, "assignments", nil, "Servers that a dispatcher assigned to a call and that the host of the call does not send to: they have asked it for a pause, are leaving or lost."}
	Relayed                 = Metric{"relayed_requests_total", Counter, "requests", []string{"side", "outcome"}, "Requests that went through a second host: sent to it or received by it, by outcome."}
	PathsLost               = Metric{"paths_lost_total", Counter, "losses", nil, "Losses of the network path from this host to the servers of a service."}
	RolloutPhases           = Metric{"rollout_phases_total", Counter, "phases", []string{"phase"}, "Phases of roll-outs that the node has entered."}
	ConnectionsClosed       = Metric{"connections_closed_total", Counter, "connections", []string{"reason"}, "Connections of clients that were closed because connections or heads of requests used up their room."}
	OrdersTotal             = Metric{"orders_total", Counter, "orders", []string{"outcome"}, "Orders sent to backend servers."}
)

// Metrics returns the descriptions above. It omits the Go and process metrics that
// NewMetrics registers.
func Metrics() []*Metric {
	return []*Metric{
		&RequestsTotal, &RequestsInFlight, &FirstTokenSeconds, &TokenGapSeconds,
		&TokensAccepted, &TokensDiscarded, &TokensRecomputed,
		&AttemptsTotal, &ResumesTotal, &ResumeSeconds, &RetryBudget,
		&CopyTokens, &CopyBytes, &CopyBatches, &CopiesUnprotected, &CopiesMoved,
		&CopyAcknowledgeSeconds, &CopiesHeldBytes, &CopiesEvicted,
		&RingDropped, &Refused, &QueueLength,
		&ContractSequence, &ContractFreshAgeSeconds, &Isolated,
		&Peers, &PeerCalls, &PlatformCalls, &Claims, &Backends, &Quarantined, &ExplainObjects, &OrdersTotal,
		&RoutedRequests, &RoutedSeconds, &InvalidEras, &InvalidHeaders, &Probes, &BackendSends, &BackendSkipped, &BackendDenied, &AssignmentsDeclined, &Relayed, &PathsLost, &RolloutPhases, &ConnectionsClosed,
	}
}
