// Package nodeagent implements the node side of the cluster controller protocol.
// Every sidecar and edge runs one Agent.
//
// The Agent registers the node with the master, answers the master's polls with
// the node's state, and receives the views and configurations that the master
// sends. Polls are long polls: if the master already knows the current state, the
// answer is held back until the state changes, so a change reaches the master at
// once. Polls and views from a master whose epoch is lower than the highest one seen
// are rejected. A view or configuration is applied only if it is newer than the
// current one.
//
// A mutex in the Agent guards its state. A second mutex serializes the application
// of configurations, so OnConfig and OnPatch may take long without blocking polls.
// Polls and deliveries arrive on the goroutines of the RPC server. Only Run, on a
// goroutine of the caller, sends requests. The Agent does not decide what a view
// contains and stores nothing on disk: after a restart the master sends the view
// and the configuration again.
package nodeagent
