// Package membership detects the live nodes of a zone, assigns a home node to each
// replica, and merges the replica summaries of the homes.
//
// It combines three sources. The control view lists the existing nodes. The machine list
// shows, with a delay, which machines are leaving. Heartbeats between neighbours on a
// ring of the zone's nodes show which nodes respond: each node sends to a fixed number of
// successors, so that a node's traffic does not grow with the zone. The monitors of a
// node without heartbeats suspect it, and declare it dead when two agree; it can refute
// both with a higher incarnation number (after SWIM: Das, Gupta, Motivala, 2002). Digests
// on the heartbeats repair differences caused by lost messages.
//
// Homes come from rendezvous hashing over the live nodes (Thaler, Ravishankar, 1998):
// nodes with equal views agree on every home without a message, and the loss of a node
// moves only its own replicas. Two nodes with different views may both act as home for a
// short time; fencing of orders and commits in the control log makes that harmless.
package membership
