// Package companion assembles the process beside a backend server: it
// announces the server, admits its flows and delivers them.
package companion
