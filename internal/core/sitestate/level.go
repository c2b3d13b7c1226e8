package sitestate

// Level numbers the sets of command kinds that all members of the control group understand. A
// member skips unknown kinds, so its state would diverge permanently: a kind above the first
// level is proposed only once all members agreed on that level.
type Level uint32

const (
	// LevelFirst is known to every build: the fields of Command up to Quarantine.
	LevelFirst Level = iota
	// LevelDrains adds Drain and Senders.
	LevelDrains
	// LevelNewest is the highest level of this build.
	LevelNewest = LevelDrains
)

// Level returns the agreed level.
func (s *State) Level() Level { return s.contents.Level }

// raiseLevel sets the agreed level; it never decreases.
func (s *State) raiseLevel(level Level) Outcome {
	if level <= s.contents.Level {
		return OutcomeIgnored
	}
	s.contents.Level = level
	return OutcomeDone
}
