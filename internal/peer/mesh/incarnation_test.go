package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/yuccahatch/yuccahatch/internal/crashcause"
	"github.com/yuccahatch/yuccahatch/internal/fleet"
	"github.com/yuccahatch/yuccahatch/internal/ident"
)

// testMesh runs a node with the given incarnation until the returned function is called.
func testMesh(t *testing.T, host ident.HostID, address string, incarnation ident.Incarnation) (m *Mesh, stop func()) {
	t.Helper()
	self := func(time.Time) Member {
		x := member(host, incarnation)
		x.Mesh = address
		return x
	}
	m, err := New(address, fleet.New(host, time.Now()), self, Handlers{
		Heartbeat: func(Member) {},
		Crash:     func(time.Time, crashcause.Crash) {},
		Panicked:  func(v any) { t.Errorf("panic: %v", v) },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(ended)
	}()
	return m, func() {
		cancel()
		<-ended
	}
}

func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// Guards against a node whose clock was set back before it started again: its incarnation is
// then lower than the one that its peers know, and they would ignore it for removeAfter.
func TestNodeWithClockSetBackIsKnownAgain(t *testing.T) {
	peerAddress, address := freeUDPAddress(t), freeUDPAddress(t)
	peer, stopPeer := testMesh(t, "peer", peerAddress, 7)
	defer stopPeer()
	known := func() ident.Incarnation {
		peer.mu.Lock()
		defer peer.mu.Unlock()
		if p := peer.members.peers["a"]; p != nil {
			return p.Incarnation
		}
		return 0
	}
	for _, clock := range []ident.Incarnation{1000, 400, 500} {
		before := known()
		m, stop := testMesh(t, "a", address, clock)
		m.Seed([]string{peerAddress})
		for deadline := time.Now().Add(20 * time.Second); known() <= before; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("started at %d after a start at %d, the peer ignores the node", clock, before)
			}
		}
		if known() != m.Incarnation() {
			t.Errorf("the peer knows incarnation %d, the node has %d", known(), m.Incarnation())
		}
		stop()
	}
}

// Guards against a late datagram of an earlier process that changes the incarnation of the
// one that runs, and against an invalid answer to it.
func TestIncarnationRisesOnlyAboveLaterOne(t *testing.T) {
	m, stop := testMesh(t, "a", freeUDPAddress(t), 1000)
	defer stop()
	for _, known := range []ident.Incarnation{999, -5, 1<<63 - 1} {
		if m.raiseIncarnation(known); m.Incarnation() != 1000 {
			t.Errorf("incarnation %d after an answer with %d", m.Incarnation(), known)
		}
	}
	if m.raiseIncarnation(1500); m.Incarnation() != 1501 {
		t.Errorf("incarnation %d, want 1501", m.Incarnation())
	}
}
