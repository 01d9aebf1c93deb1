package traffic

import (
	"log/slog"
	"net"
	"net/netip"

	"zinniapulley.dev/wire/hop"
)

// SendHeartbeat sends a heartbeat to all given control instances. A lost one is not
// repeated: the next heartbeat follows anyway.
func SendHeartbeat(socket *net.UDPConn, controls []netip.AddrPort, heartbeat hop.Heartbeat, log *slog.Logger) {
	datagram, err := hop.EncodeHeartbeat(heartbeat)
	if err != nil {
		log.Error("heartbeat not encoded", "error", err)
		return
	}
	for _, to := range controls {
		_, err = socket.WriteToUDPAddrPort(datagram, to)
		if err != nil {
			log.Debug("heartbeat not sent", "to", to, "error", err)
		}
	}
}
