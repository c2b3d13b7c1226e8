package settings

import (
	"encoding/json"
	"time"
)

// UnmarshalJSON reads the text form that MarshalText writes, as in results of
// experiments. Unlike the reading of settings it fails for a malformed text.
func (d *Duration) UnmarshalJSON(content []byte) error {
	var text string
	if err := json.Unmarshal(content, &text); err != nil {
		return err
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration{value: value}
	return nil
}
