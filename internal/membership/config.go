package membership

import "time"

// Defaults of Config. Section 6 of docs/design.md gives the reasons.
const (
	DefaultSuspectAfter = 2 * time.Second
	DefaultDeadAfter    = 10 * time.Second
	DefaultForgetAfter  = time.Minute
	DefaultJumpLimit    = 2 * time.Second
	DefaultLeaveGrace   = 2 * time.Second
	// DefaultFullMeshHosts is high because no message carries the summaries of
	// relays yet: above it, nodes that are not heartbeat peers are unheard and
	// count as dead. docs/CAPACITY.md gives the cost of a full mesh.
	DefaultFullMeshHosts       = 128
	DefaultPeers               = 8
	DefaultRelaysPerDataCentre = 2
	DefaultMaxAddresses        = 16
)

// Config holds the limits of a View. The zero value of a field selects its
// default.
type Config struct {
	// SuspectAfter is the silence after which a node is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a node is dead.
	DeadAfter time.Duration
	// ForgetAfter is how long an unlisted node is kept after its last sign of
	// life. It must be longer than DeadAfter.
	ForgetAfter time.Duration
	// JumpLimit is the longest time between two inputs. A longer one means
	// that this node was paused, because Tick runs every 500 ms.
	JumpLimit time.Duration
	// LeaveGrace is how long a leaving node still takes new work.
	LeaveGrace time.Duration
	// FullMeshHosts is the largest host list at which every node exchanges
	// heartbeats with every other.
	FullMeshHosts int
	// Peers is the number of heartbeat peers above FullMeshHosts.
	Peers int
	// RelaysPerDataCentre is the number of relays in each data centre.
	RelaysPerDataCentre int
	// MaxAddresses bounds the answer of Addresses.
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

func (c Config) check() error {
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
