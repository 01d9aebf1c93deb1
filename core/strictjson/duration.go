package strictjson

import (
	"fmt"
	"time"
)

// Duration is a duration in Go's notation, for example "1.5s".
type Duration time.Duration

// UnmarshalText parses a non-negative duration.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil || span < 0 {
		return fmt.Errorf("must be a duration such as \"1.5s\", not %q", text)
	}
	*d = Duration(span)
	return nil
}

// MarshalText formats the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
