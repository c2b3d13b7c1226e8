// Package prefix keeps an index, for each replica, of the prompt prefix blocks cached by
// its engine.
//
// The index is only a hint for scheduling. Engines publish cache events late and with
// gaps. A gap clears the replica's index, which later events fill again. The blocks of a
// request are added optimistically when it is sent, and expire unless an event confirms
// them. Memory is bounded per replica, with least recently used blocks removed first.
package prefix
