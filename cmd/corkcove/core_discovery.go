package main

import (
	"context"
	"net/http"
	"time"

	"corkcove/internal/discovery"
	"corkcove/internal/mailbox"
	"corkcove/internal/rpc"
	"corkcove/internal/settings"
)

const (
	// Bounds of the time between two readings of the platform's list.
	minDiscoveryInterval = 300 * time.Millisecond
	maxDiscoveryInterval = 2 * time.Second
	// discoveryBackoff is the time after the first failed reading; it doubles
	// with each further one.
	discoveryBackoff = 100 * time.Millisecond
	// discoveryTimeout bounds one call of the platform.
	discoveryTimeout = time.Second
)

// pollDiscovery reads the platform's list of endpoints, while this node is the
// master, until ctx ends. The time between readings is a third of the drain
// time, which leaves most of that for the view's way to the nodes.
func (c *coreNode) pollDiscovery(ctx context.Context) {
	platform := c.options.Platform.Cloud
	client := discovery.New(discovery.Options{Address: platform.Address, RequestsPerSecond: platform.RequestsPerSecond, Log: c.log("discovery"),
		HTTPClient: &http.Client{Timeout: discoveryTimeout, Transport: rpc.NewTransport(400*time.Millisecond, time.Second, 30*time.Second, 1)}})
	drain := settings.Seconds(c.options.Requirements.Bounds.DrainSeconds)
	interval := min(max(drain/3, minDiscoveryInterval), maxDiscoveryInterval)
	backoff := discoveryBackoff
	for ctx.Err() == nil {
		wait := tickInterval
		if c.isActingMaster() {
			start := time.Now()
			endpoints, err := client.List(ctx, c.isActingMaster)
			if err == nil {
				c.master.Mailbox.Post(func() { c.master.SetListedEndpoints(endpoints) })
				wait, backoff = interval-time.Since(start), discoveryBackoff
			} else {
				c.log("discovery").Warn("failed to read the platform's endpoint list", "error", err)
				wait, backoff = backoff, min(2*backoff, interval)
			}
		}
		select {
		case <-time.After(max(wait, tickInterval)):
		case <-ctx.Done():
		}
	}
}

// isActingMaster tells whether this node is the master and certain of its lease.
func (c *coreNode) isActingMaster() bool {
	isMaster, _ := mailbox.Call(c.master.Mailbox, c.master.IsMaster)
	return isMaster && c.replica.HoldsMasterLease()
}
