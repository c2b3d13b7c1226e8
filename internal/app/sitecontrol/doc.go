// Package sitecontrol is the control process of a site with service discovery. It connects
// the replicated control state with operators, replicas, trainers and the other processes.
//
// Any member accepts any call and forwards it to the leader. Configurations, published
// weights and the departure of a replica are acknowledged once committed. Heartbeats that
// change nothing are stored only in the leader's memory. The leader also orders replicas to
// load the published weights, under a time-based lease, creates the groups of stores, and
// tracks the evacuation of store machines.
package sitecontrol
