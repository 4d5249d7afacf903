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
	// Minimum and maximum of the interval between two reads of the platform's
	// endpoint list.
	minDiscoveryInterval = 300 * time.Millisecond
	maxDiscoveryInterval = 2 * time.Second
	// discoveryBackoff is the delay after the first failed read. It doubles with each
	// consecutive failure.
	discoveryBackoff = 100 * time.Millisecond
	// discoveryTimeout limits one request to the platform's API.
	discoveryTimeout = time.Second
)

// pollDiscovery polls the platform's endpoint list while this node is the master,
// until ctx is cancelled. The interval is a third of the drain time, which leaves
// most of the drain time for publishing the view to the nodes.
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

// isActingMaster reports whether this node is the master and its lease is valid.
func (c *coreNode) isActingMaster() bool {
	isMaster, _ := mailbox.Call(c.master.Mailbox, c.master.IsMaster)
	return isMaster && c.replica.HoldsMasterLease()
}
