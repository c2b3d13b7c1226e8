// Package membership decides which nodes of a zone live, which of them is the
// home of each replica, and merges what homes tell of their replicas.
//
// Three sources are merged. The control view says which nodes exist. The
// machine list says, some time late, which machines are leaving. Heartbeats
// between neighbours on a ring of the zone's nodes say who answers: each node
// sends to a fixed number of successors, so that the traffic of a node does not
// grow with the zone. A silent node is suspected by its monitors, and declared
// dead when two of them agree; it can refute both with a higher incarnation
// number (after SWIM: Das, Gupta, Motivala, 2002). Digests on the heartbeats
// repair what lost messages left apart.
//
// Homes come from rendezvous hashing over the live nodes (Thaler, Ravishankar,
// 1998): nodes with equal views agree on every home without a message, and the
// loss of a node moves only the replicas that it was home of. Two nodes with
// unequal views may both act as home for a moment; fencing of orders and
// commits in the control log keep that harmless.
package membership
