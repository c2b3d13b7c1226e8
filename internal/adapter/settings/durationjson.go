package settings

import (
	"encoding/json"
	"time"
)

// UnmarshalJSON decodes the text form of MarshalText, as in experiment results.
// Unlike UnmarshalYAML, it fails for malformed text.
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
