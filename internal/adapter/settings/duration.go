package settings

import (
	"fmt"
	"time"
)

// Duration is a time with a unit, such as "250ms" or "5s". Decoding never fails: it
// stores malformed text, so that the check can report its key and line.
type Duration struct {
	value     time.Duration
	malformed string
}

// DurationOf returns the setting for a time.
func NewDuration(value time.Duration) Duration { return Duration{value: value} }

// Outside returns an error if the duration is malformed or not between low and
// high.
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

// IsZero reports whether the setting is absent.
func (d Duration) IsZero() bool { return d.value == 0 && d.malformed == "" }

// Value returns the time.
func (d Duration) Value() time.Duration { return d.value }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	*d = readDuration(string(text))
	return nil
}

// UnmarshalYAML decodes the text form. Other values, such as a list, are malformed
// as well.
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
