package settings

import (
	"fmt"
	"time"
)

// Duration is a time with a unit, as "250ms" or "5s". Reading one never fails:
// a malformed text is kept, so that the check can name its key and line.
type Duration struct {
	value     time.Duration
	malformed string
}

// DurationOf gives the setting for a time.
func NewDuration(value time.Duration) Duration { return Duration{value: value} }

// Outside gives the fault of a duration that is malformed or not between low
// and high, and nil for one that is.
func (d Duration) CheckRange(key string, low, high time.Duration) *Error {
	allowed := fmt.Sprintf("%s to %s, with a unit", low, high)
	switch {
	case d.malformed != "":
		return &Error{Key: key, Value: d.malformed, Allowed: allowed}
	case d.value < low || d.value > high:
		return &Error{Key: key, Value: d.value.String(), Allowed: allowed}
	default:
		return nil
	}
}

// IsZero says that the setting is absent.
func (d Duration) IsZero() bool { return d.value == 0 && d.malformed == "" }

// Value gives the time.
func (d Duration) Value() time.Duration { return d.value }

// MarshalText gives the text form.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// UnmarshalText reads the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	*d = readDuration(string(text))
	return nil
}

// UnmarshalYAML reads the text form and keeps what is no text at all, such as a
// list, as malformed too.
func (d *Duration) UnmarshalYAML(decode func(any) error) error {
	var written any
	if err := decode(&written); err != nil {
		return err
	}
	*d = readDuration(fmt.Sprint(written))
	return nil
}

func readDuration(text string) Duration {
	value, err := time.ParseDuration(text)
	if err != nil {
		return Duration{malformed: text}
	}
	return Duration{value: value}
}
