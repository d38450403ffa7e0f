// Package crashcause decides which requests must not run again because their content
// crashes backend servers. It does no I/O and reads no clock.
//
// Load pattern: occasionally some content crashes each server that begins to answer it.
// The content is a whole request, which its client sends again, or one part of a prompt,
// which many requests share that are alike in nothing else. Such requests come at any
// node. Servers also crash for other reasons, whole data centres at a time, and a crash
// cuts off sound requests together with the one that caused it.
//
// Each node keeps all crashes in a Tracker. Nodes tell each other of new ones, and of
// suspected content that turned out to be sound.
package crashcause

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/quarantine"
)

// Content is what a request consists of, as far as it may be the cause of a crash.
type Content struct {
	// Request identifies the whole request, independent of the id that its client gave
	// it. It is empty where only parts are meant.
	Request quarantine.Fingerprint `json:"f,omitempty"`
	// Parts are the hashes of the parts of the prompt that other requests may share.
	Parts []uint64 `json:"p,omitempty"`
}

// Crash reports that a server crashed while it ran a request that it had not begun to
// answer, or had just begun to.
type Crash struct {
	Content
	Server      ident.BackendID  `json:"s"`
	Incarnation int64            `json:"i,omitempty"`
	Service     string           `json:"v"`
	DataCentre  ident.DataCentre `json:"d"`
}

// Servers is what a node knows of the state of servers.
type Servers interface {
	// DataCentreLostNear reports whether the data centre's servers were lost together
	// about the given time. It is asked when causeDelay has passed, too, and may then take
	// into account what was heard of the servers since.
	DataCentreLostNear(service string, dataCentre ident.DataCentre, at time.Time) bool
	// HeardSince reports whether the incarnation of a server has sent anything since it was
	// found lost at the given time.
	HeardSince(id ident.BackendID, incarnation int64, at time.Time) bool
}

// Cause is content for which requests are refused, with the evidence that decided it.
type Cause struct {
	Content // a whole request or a single part
	Crashes int
	Limit   int // number of crashes from which on the content is refused
	// Answered is when the content was last known to be answered; zero if it never was.
	Answered       time.Time
	Oldest, Newest time.Time // of the crashes
}

// key is one possible cause: a whole request or one part of a prompt. The other field
// is zero.
type key struct {
	request quarantine.Fingerprint
	part    uint64
}

func (c Content) keys() []key {
	keys := make([]key, 0, len(c.Parts)+1)
	for _, p := range c.Parts {
		keys = append(keys, key{part: p})
	}
	if c.Request != "" {
		keys = append(keys, key{request: c.Request})
	}
	return keys
}

// instance is one life of a server.
type instance struct {
	server      ident.BackendID
	incarnation int64
}

func (x Crash) instance() instance { return instance{x.Server, x.Incarnation} }

// death is the crash of one instance with the content of all requests that were lost
// with it before they were answered.
type death struct {
	instance
	service    string
	dataCentre ident.DataCentre
	at         time.Time // when this node recorded the first of its crashes
	contents   []Content
	present    map[key]bool // the keys of contents
	// independent is set once it is known that the server was not lost together with its
	// data centre, and dismissed once it is known that it was.
	independent, dismissed bool
	// doubtful is set while only hosts that may have lost their paths to the server have found
	// it lost.
	doubtful bool
	// lost is whether the data centre seemed lost at checkedAt, until that is known.
	lost      bool
	checkedAt time.Time
}

// explained reports whether the death has a cause other than a request. A server that
// was silent for some time and is heard again did not crash.
func (d *death) explained(now time.Time, s Servers) bool {
	if !d.independent && !d.dismissed {
		known := now.Sub(d.at) >= causeDelay
		if known || now.Sub(d.checkedAt) >= lossCheckInterval {
			d.lost, d.checkedAt = s.DataCentreLostNear(d.service, d.dataCentre, d.at), now
		}
		if !known {
			return d.lost
		}
		d.independent, d.dismissed = !d.lost, d.lost
	}
	return d.dismissed || d.doubtful || s.HeardSince(d.server, d.incarnation, d.at)
}

func (d *death) expired(now time.Time) bool { return now.Sub(d.at) > retention }
