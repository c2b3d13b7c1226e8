// Package peerapi defines the methods and messages of the internal protocol between
// nodes and between control members, as far as several packages use them: the
// processes themselves and the emulation of a large fleet. The methods that control
// members call on nodes are in controlclient.
package peerapi
