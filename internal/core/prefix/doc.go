// Package prefix keeps, for each replica, an index of the prompt prefix blocks
// that the replica's engine has cached.
//
// The index is a hint for scheduling, never a promise. Engines publish cache
// events late and with gaps: a gap empties the replica's index, which then
// fills again from the events that follow. Blocks of a request that was just
// sent are entered ahead of the events and expire unless an event confirms
// them. Memory is bounded per replica; the block unused for longest goes first.
package prefix
