package main

import (
	"bytes"
	"log/slog"
	"net/netip"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/platform"
)

// "settings reloaded" was also logged when the settings file couldn't be read.
func TestUnreadableSettingsAreNotReportedAsReloaded(t *testing.T) {
	g := gomega.NewWithT(t)
	t.Setenv(platform.SettingsVariable, filepath.Join(t.TempDir(), "missing.toml"))
	var out bytes.Buffer
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	p := &platformProcess{log: slog.New(slog.NewTextHandler(&out, nil))}
	p.currentSeeds.Store(&seeds)
	p.reload()
	g.Expect(out.String()).To(gomega.ContainSubstring("settings file is unusable"))
	g.Expect(out.String()).NotTo(gomega.ContainSubstring("settings reloaded"))
	g.Expect(*p.currentSeeds.Load()).To(gomega.Equal(seeds))
}
