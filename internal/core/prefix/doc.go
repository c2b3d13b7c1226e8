// Package prefix maintains, for each replica, an index of the prompt prefix blocks that its
// engine has cached.
//
// The index is only a hint for scheduling. Engines publish cache events late and with
// gaps. A gap clears the replica's index, which later events fill again. The blocks of a
// request are added optimistically when it is sent, and expire unless an event confirms
// them. The index of a replica has a size limit; least recently used blocks are removed first.
package prefix
