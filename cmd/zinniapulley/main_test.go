package main

import (
	"os"
	"testing"
)

// runAsCommand, when set in the environment, makes the test binary run the
// command itself, so that tests can start real processes.
const runAsCommand = "ZINNIAPULLEY_TEST_RUN_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}
