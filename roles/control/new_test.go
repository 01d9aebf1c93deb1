package control_test

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"zinniapulley.dev/roles/control"
)

// An instance whose UDP address was in use kept its TCP address, so that a second attempt
// in the same process failed too.
func TestFailedListenLeavesNoAddressInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	taken, err := net.ListenPacket("udp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = taken.Close() }()
	address := taken.LocalAddr().(*net.UDPAddr).AddrPort()
	config := control.Config{RPC: address, Log: slog.New(slog.DiscardHandler), Seeds: func() []netip.AddrPort { return nil }}
	_, err = control.New(config)
	g.Expect(err).To(gomega.HaveOccurred())
	listener, err := net.Listen("tcp4", address.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listener.Close()).To(gomega.Succeed())
}
