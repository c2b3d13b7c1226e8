package port

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text ("250ms", "5s") in settings files
// and JSON, and as nanoseconds in CBOR.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It rejects a number without a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as 250ms or 5s", text)
	}
	*d = Duration(parsed)
	return nil
}
