// Package sitecontrol is the control process of a site whose members find each
// other. It joins the replicated control state to the interfaces of operators,
// replicas, trainers and the other processes.
//
// Any member takes any call; the leader serves it. What binds afterwards is
// acknowledged once it is committed: configurations, published weights, that a
// replica leaves. Plain heartbeats are kept by the leader alone, which puts into
// the log only what changed. The leader also brings replicas to the published
// weights, under a lease by time, founds the group of stores, and follows the
// evacuation of a store machine.
package sitecontrol
