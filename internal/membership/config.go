package membership

import "time"

// Default values of Config. Section 6 of docs/design.md gives the reasons.
const (
	DefaultSuspectAfter = 2 * time.Second
	DefaultDeadAfter    = 10 * time.Second
	DefaultForgetAfter  = time.Minute
	DefaultJumpLimit    = 2 * time.Second
	DefaultLeaveGrace   = 2 * time.Second
	// DefaultFullMeshHosts is high because no message carries relay summaries
	// yet: in a larger deployment, a node receives no sign of life from nodes
	// that are not its heartbeat peers and considers them dead.
	// docs/CAPACITY.md gives the cost of a full mesh.
	DefaultFullMeshHosts       = 128
	DefaultPeers               = 8
	DefaultRelaysPerDataCentre = 2
	DefaultMaxAddresses        = 16
)

// Config holds the limits of a View. A zero field selects its default.
type Config struct {
	// SuspectAfter is the time without a sign of life after which a node is
	// suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time without a sign of life after which a node is
	// considered dead. It must be longer than SuspectAfter.
	DeadAfter time.Duration
	// ForgetAfter is the time after its last sign of life at which the record
	// of an unlisted node is deleted. It must be longer than DeadAfter.
	ForgetAfter time.Duration
	// JumpLimit is the longest plausible time between two inputs. Since Tick
	// runs every 500 ms, a longer gap means that this node was paused.
	JumpLimit time.Duration
	// LeaveGrace is the time for which a leaving node still accepts new work.
	LeaveGrace time.Duration
	// FullMeshHosts is the largest number of listed hosts at which every node
	// exchanges heartbeats with every other node.
	FullMeshHosts int
	// Peers is the number of heartbeat peers of a node when more than
	// FullMeshHosts hosts are listed, not counting relays.
	Peers int
	// RelaysPerDataCentre is the number of relays in each data centre.
	RelaysPerDataCentre int
	// MaxAddresses is the largest number of nodes that Addresses returns.
	MaxAddresses int
}

func (c Config) withDefaults() Config {
	setDuration(&c.SuspectAfter, DefaultSuspectAfter)
	setDuration(&c.DeadAfter, DefaultDeadAfter)
	setDuration(&c.ForgetAfter, DefaultForgetAfter)
	setDuration(&c.JumpLimit, DefaultJumpLimit)
	setDuration(&c.LeaveGrace, DefaultLeaveGrace)
	setInt(&c.FullMeshHosts, DefaultFullMeshHosts)
	setInt(&c.Peers, DefaultPeers)
	setInt(&c.RelaysPerDataCentre, DefaultRelaysPerDataCentre)
	setInt(&c.MaxAddresses, DefaultMaxAddresses)
	return c
}

func setDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

func setInt(v *int, def int) {
	if *v == 0 {
		*v = def
	}
}

func (c Config) validate() error {
	if c.SuspectAfter <= 0 || c.DeadAfter <= c.SuspectAfter || c.ForgetAfter <= c.DeadAfter {
		return newError(CodeInvalidConfig).Errorf(
			"limits must rise: suspect after %v, dead after %v, forget after %v",
			c.SuspectAfter, c.DeadAfter, c.ForgetAfter)
	}
	if c.JumpLimit <= 0 || c.LeaveGrace < 0 {
		return newError(CodeInvalidConfig).Errorf(
			"jump limit %v must be positive and leave grace %v not negative", c.JumpLimit, c.LeaveGrace)
	}
	if c.FullMeshHosts < 0 || c.Peers < 0 || c.RelaysPerDataCentre < 0 || c.MaxAddresses < 0 {
		return newError(CodeInvalidConfig).Errorf("a count is negative: %+v", c)
	}
	return nil
}
