package sitestate

// Level says which kinds of commands all members of the control group know. A member that does
// not know a kind takes no part in it, so that its state would differ from that of the others
// for good: a kind above the first level is proposed only once the level is agreed.
type Level uint32

const (
	// LevelFirst is what every build knows: a Command up to Quarantine.
	LevelFirst Level = iota
	// LevelDrains adds Drain and Senders.
	LevelDrains
	// LevelNewest is that of this build.
	LevelNewest = LevelDrains
)

// Level gives the agreed level.
func (s *State) Level() Level { return s.contents.Level }

// raise agrees on a level; it never falls.
func (s *State) raise(level Level) Outcome {
	if level <= s.contents.Level {
		return OutcomeIgnored
	}
	s.contents.Level = level
	return OutcomeDone
}
