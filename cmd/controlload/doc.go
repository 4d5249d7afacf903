// Command controlload measures the control plane of meshes that are too large to
// run in full on one machine. It starts real core processes on loopback addresses
// and simulates many nodes in its own process. Each simulated node has the real
// node agent and its own listener, but carries no traffic, and its endpoint exists
// only in the state that the node reports. For each number of nodes, controlload
// runs the same scenario and prints one JSON object. It then stops all nodes and
// core processes that it started.
//
// The scenario runs on the main goroutine. The node agents record what they
// receive in atomic fields, which the scenario reads.
package main
