package settings

import "time"

// Duration is a time with a unit, as "250ms" or "5s". Reading one never fails:
// a malformed text is kept, so that the check can name its key and line.
type Duration struct {
	value     time.Duration
	malformed string
}

// Value gives the time.
func (d Duration) Value() time.Duration { return d.value }

// MarshalText gives the text form.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.value.String()), nil }

// UnmarshalText reads the text form.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		d.malformed = string(text)
		return nil
	}
	d.value = value
	return nil
}

// setDefault gives an unset duration its default.
func (d *Duration) setDefault(standard time.Duration) {
	if d.value == 0 && d.malformed == "" {
		d.value = standard
	}
}
