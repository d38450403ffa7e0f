package front

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccahatch/yuccahatch/internal/rollout"
	"github.com/yuccahatch/yuccahatch/internal/telemetry"
)

// save stores the record of an order: at each change of its phase, and at recordInterval. The
// first call reads the record of an earlier coordinator instead. The lock is held; the call
// of the store is made without it.
func (n *Node) save(ctx context.Context, now time.Time, c *conducted) {
	plan := c.Plan(now)
	due := now.Sub(c.savedAt) >= recordInterval || c.loaded && plan.Phase != c.stored && now.Sub(c.savedAt) >= rolloutTick
	if c.writing || !due {
		return
	}
	c.writing, c.savedAt = true, now
	if !c.loaded || c.stale {
		go n.loadRecord(ctx, c)
		return
	}
	go n.writeRecord(ctx, c, c.version, plan, c.Record(now))
}

// loadRecord reads the record of an earlier coordinator.
func (n *Node) loadRecord(ctx context.Context, c *conducted) {
	row, err := n.readRecord(ctx, c.Order.Service)
	now := time.Now()
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	c.writing = false
	if err != nil {
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableRollouts}, "cannot read the record of a roll-out, retrying")
		return
	}
	var record rollout.Record
	if len(row.Value) > 0 {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			n.log.LogError(logrus.WarnLevel, telemetry.EventRollout, err, logrus.Fields{"service": c.Order.Service}, "cannot decode the record of a roll-out, beginning anew")
		}
	}
	c.Resume(now, record)
	c.note(now, row, record)
	c.loaded, c.stale, c.savedAt = true, false, time.Time{}
}

// note records what the store holds.
func (c *conducted) note(now time.Time, row Row, record rollout.Record) {
	c.version, c.stored = row.Version, ""
	if record.ID == c.Order.ID {
		c.stored = record.Plan.Phase
		c.Adopt(now, record.Plan)
		c.Accept(now, record.Plan)
	}
}

// readRecord reads the row of a service's roll-out, which is empty if there is none.
func (n *Node) readRecord(ctx context.Context, service string) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	rows, err := n.store.List(ctx, TableRollouts)
	if err != nil {
		return Row{}, err
	}
	for _, r := range rows.Rows {
		if r.Key == service {
			return r, nil
		}
	}
	return Row{}, nil
}

// writeRecord stores a record, with the status that the operator reads if the phase has
// changed. After a conflict or an unknown outcome the row is read again.
func (n *Node) writeRecord(ctx context.Context, c *conducted, version int64, plan rollout.Plan, record rollout.Record) {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err) // the record always encodes
	}
	service := c.Order.Service
	key, status := n.decoder.EncodeRolloutStatus(c.Order, plan.Phase)
	puts := []RowValue{{TableRollouts, service, raw}, {TableStatus, key, status}}
	writeCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	err = n.store.Transact(writeCtx, RowVersion{TableRollouts, service, version}, puts)
	cancel()
	row, readErr := n.readRecord(ctx, service)
	now := time.Now()
	if err != nil && !errors.Is(err, ErrConflict) {
		n.log.LogError(logrus.WarnLevel, telemetry.EventStoreLost, err, logrus.Fields{"table": TableRollouts}, "cannot write the record of a roll-out, retrying")
	}
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	c.writing = false
	if readErr != nil {
		c.stale = true
		return
	}
	var stored rollout.Record
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		stored = rollout.Record{} // of another writer; it is overwritten
	}
	c.note(now, row, stored)
	if verdict := c.Plan(now); verdict.Stored {
		n.broadcastPlan(now, service, verdict)
	}
}
