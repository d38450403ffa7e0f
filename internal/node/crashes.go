package node

import (
	"time"

	"github.com/yuccahatch/yuccahatch/internal/generation"
	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/peer/node/nodepb"
)

func (n *Node) checkCrashes(*generation.Request) error { return nil }

func (n *Node) excludedFor(_ *generation.Request, exclude []ident.BackendID) []ident.BackendID {
	return exclude
}

func (n *Node) startedOn(*generation.Request, ident.BackendID, int64, ident.AttemptID) {}

func (n *Node) finishedOn(*generation.Request, ident.BackendID, ident.AttemptID) {}

func (n *Node) backendDied(ident.BackendID, int64) {}

func (n *Node) crashEvidence(ident.HostID) *nodepb.Evidence { return nil }

func (n *Node) observeEvidence(time.Time, *nodepb.Sender, *nodepb.Evidence) {}
