package front

import (
	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/configcheck"
	"github.com/yuccahatch/yuccahatch/internal/routing"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// applyConfig installs the configuration that was read from the store. Before its first
// one, the node asks a peer for a newer one: the store may have been restored from an
// older copy, while the peers still run what the operator wrote since.
func (n *Node) applyConfig(rows Rows, _ readContext) {
	if n.routes.Current() == nil {
		n.awaitPeer()
		n.readNewestConfig()
	}
	n.applyOrders(rows)
	for _, r := range rows.Rows {
		if r.Key == configKey && !r.Removed {
			n.installConfig(r.Value, rows.Position.Era, "store")
		}
	}
}

// replaceConfig is applyConfig for a full listing. An order that it lacks was withdrawn, but
// a restored store may lack it only until the operator has written it again.
func (n *Node) replaceConfig(rows Rows, c readContext) {
	if !c.restored {
		n.withdrawMissing(rows)
	}
	n.applyConfig(rows, c)
}

// installConfig decodes a configuration that was read in an era of the store and
// installs it if it is newer than the one in force. source is "store" or the id of the
// peer that sent it.
func (n *Node) installConfig(raw []byte, era int64, source string) {
	c, err := n.decoder.DecodeConfig(raw)
	if err != nil {
		n.log.LogError(logrus.ErrorLevel, telemetry.EventConfigRefused, err, logrus.Fields{"source": source}, "cannot decode configuration")
		return
	}
	c.Era = era
	n.mu.Lock()
	installed := n.routes.InstallIfNewer(routing.NewTable(c))
	if installed {
		n.rawConfig = raw
	}
	n.mu.Unlock()
	if !installed {
		return
	}
	n.log.Log(logrus.InfoLevel, telemetry.EventConfigApplied, logrus.Fields{
		"version": c.Version, "era": c.Era, "source": source, "routes": len(c.Routes), "teams": len(c.Teams),
	}, "configuration in force")
	n.logFindings(c)
}

// maxFindings bounds the findings of one configuration that are logged.
const maxFindings = 5

// logFindings logs what is wrong with a configuration that was installed. Operators find the
// same with "yuccahatch config check" before they send it.
func (n *Node) logFindings(c routing.Config) {
	list := configcheck.Check(c)
	for i, f := range list[:min(len(list), maxFindings)] {
		n.log.Log(logrus.WarnLevel, telemetry.EventConfigFinding, logrus.Fields{
			"version": c.Version, "severity": f.Severity, "path": f.Path, "finding": f.Message, "number": i + 1, "of": len(list),
		}, "finding in the configuration")
	}
}
