package traffic

import (
	"log/slog"
	"net"
	"net/netip"

	"zinniapulley.dev/wire/hop"
)

// SendHeartbeat tells control instances of an instance. One that a hello doesn't reach
// gets the next.
func SendHeartbeat(socket *net.UDPConn, controls []netip.AddrPort, hello hop.Hello, log *slog.Logger) {
	datagram, err := hop.EncodeHello(hello)
	if err != nil {
		log.Error("hello not sent", "error", err)
		return
	}
	for _, to := range controls {
		_, err = socket.WriteToUDPAddrPort(datagram, to)
		if err != nil {
			log.Debug("hello not sent", "to", to, "error", err)
		}
	}
}
