package geneve

import (
	"net"
	"net/netip"

	"zinniapulley.dev/core"
)

// socketBuffer is the requested size in bytes of a socket's buffers, which absorb
// bursts. The kernel may grant less.
const socketBuffer = 4 << 20

// Listen opens a UDP socket for datagrams.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, core.At("listen for packets", core.Peer(address.String()), err)
	}
	err = conn.SetReadBuffer(socketBuffer)
	if err == nil {
		err = conn.SetWriteBuffer(socketBuffer)
	}
	if err != nil {
		_ = conn.Close()
		return nil, core.At("set buffers of packet socket", core.Peer(address.String()), err)
	}
	return conn, nil
}
