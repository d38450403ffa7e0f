package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/streamversion"
)

// StreamVersions knows the versions that began the streams of all hosts.
type StreamVersions interface {
	// Began records the version that began a stream of this host. The caller tells the
	// peers.
	Began(now time.Time, x streamversion.Record)
	// Version returns the version that began a stream of any host. It may ask peers.
	Version(ctx context.Context, service string, k streamversion.Key) (version string, known bool)
	// Sole returns the only version that a service has and had lately, if that is known.
	Sole(now time.Time, service string) (version string, ok bool)
}

// streamKey returns the key under which the version of the stream is recorded: that of the
// attempt that began it.
func (st *streamState) streamKey() streamversion.Key {
	target := st.team + " " + st.call.Method + " " + st.call.Target
	if st.call.After == 0 {
		return streamversion.KeyOf(st.call.ID, target, st.call.Body)
	}
	return streamversion.KeyOf(st.call.Origin, target, st.call.Body)
}

// findVersion finds the version that began the stream that a client resumes, and reports
// whether it is known.
func (st *streamState) findVersion() bool {
	version, known := st.g.Versions.Version(st.ctx, st.service.Name, st.streamKey())
	if known {
		st.version = version
		st.addStep("version=%s began the stream", version)
	}
	return known
}

// recordVersion records the version of the engine that is about to send the first event of
// the stream, and returns the record for the peers. It returns nil if the stream had begun
// before or cannot be resumed.
func (st *streamState) recordVersion(now time.Time, s *fleet.Server) *streamversion.Record {
	if st.version != "" || !st.route.Resumable {
		return nil
	}
	st.version = st.g.Fleet.VersionOf(s)
	x := streamversion.Record{Key: st.streamKey(), Version: st.version}
	if st.version == streamversion.Unknown {
		x.Server = streamversion.Server{ID: s.ID, Incarnation: s.Incarnation}
	}
	st.g.Versions.Began(now, x)
	return &x
}

// resolveVersion looks up the version that began the stream again if it was not known: the
// list may have told it since.
func (st *streamState) resolveVersion() {
	if st.version == streamversion.Unknown {
		st.findVersion()
	}
}

// confirmVersion reports whether a stream may begin or continue at a server. The server may
// have started again, perhaps with another version, since the list was read. A stream that
// begins there would be recorded with the old version, so a server that was found lost since
// its last report is asked. An attempt from a copy is not delayed; see askIdentity.
func (st *streamState) confirmVersion(s *fleet.Server, a Attempt) bool {
	if a.CopyName != "" || !st.route.Resumable || st.lastEventID == 0 && !st.g.Fleet.MayHaveRestarted(s) {
		return true
	}
	if _, ok := st.g.Versions.Sole(time.Now(), st.service.Name); ok {
		return true
	}
	err := st.g.confirmIncarnation(s)
	if err == nil {
		return true
	}
	st.addStep("%s may run another version: %v", s.ID, err)
	if errors.Is(err, errGone) {
		st.g.recordLoss(s, fleet.LossReplaced, errReplaced)
	}
	st.unavailableCount++
	st.connectFailures++
	st.exclude = append(st.exclude, s.ID)
	return false
}

// askIdentity asks, beside an attempt from a copy, whether the server is the incarnation that
// this host knows, if the list has not told of it lately: a copy may have been made after a
// restart that no host has noticed. It returns nil if there is no doubt.
func (st *streamState) askIdentity(s *fleet.Server, a Attempt) <-chan error {
	f := st.g.Fleet
	if a.CopyName == "" || !st.route.Resumable || !f.MayHaveRestarted(s) && f.ReportedLately(s, time.Now()) {
		return nil
	}
	if _, ok := st.g.Versions.Sole(time.Now(), st.service.Name); ok {
		return nil
	}
	answer := make(chan error, 1)
	go func() {
		defer func() {
			if v := recover(); v != nil {
				st.g.logPanic("identity", v)
				answer <- nil
			}
		}()
		answer <- st.g.confirmIncarnation(s)
	}()
	return answer
}

// isAnother waits for the answer to askIdentity, and reports whether another incarnation answers
// at the server's address. Without an answer the attempt continues: the server sends events.
func (st *streamState) isAnother(s *fleet.Server, identity <-chan error) bool {
	if identity == nil || !errors.Is(<-identity, errGone) {
		return false
	}
	st.addStep("another incarnation answers as %s", s.ID)
	st.g.recordLoss(s, fleet.LossReplaced, errReplaced)
	st.exclude = append(st.exclude, s.ID)
	return true
}
