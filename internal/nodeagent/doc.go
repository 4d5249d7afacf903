// Package nodeagent is a node's side of the cluster controller: every sidecar and
// edge has one Agent.
//
// The Agent registers the node with the master, answers the master's polls with
// the node's state, and takes the views and configurations that the master sends.
// A poll that finds nothing new lingers until the state changes, so that a change
// reaches the master at once. What comes from a master under an epoch lower than
// the highest seen is refused, and a view or a configuration is applied only if it
// is newer than the one that is held.
//
// All state belongs to the Agent and is guarded by its mutex; configurations are
// applied one at a time under a second one, so that OnConfig and OnPatch may take
// long. Polls and deliveries come on the goroutines of the RPC server; Run, which
// the caller starts, is the only one that sends. The Agent never decides what is
// in the view, and keeps nothing on disk: after a restart the master sends the
// view and the configuration again.
package nodeagent
