// Package peerapi names the methods and messages of the internal protocol between
// nodes and between control members, as far as more than one package speaks it:
// the processes themselves and the emulation of a large fleet. The methods of
// control members towards nodes are in controlclient.
package peerapi
