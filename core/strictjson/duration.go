package strictjson

import (
	"fmt"
	"time"
)

// Duration is a time span written as Go writes it, for example "1.5s".
type Duration time.Duration

// UnmarshalText reads the duration; it must not be negative.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil || span < 0 {
		return fmt.Errorf("must be a duration such as \"1.5s\", not %q", text)
	}
	*d = Duration(span)
	return nil
}

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
