package geneve_test

import (
	"strings"
	"testing"

	"zinniapulley.dev/wire/geneve"
)

// benchmarkPayload is the length in bytes of a packet's payload in the benchmarks.
const benchmarkPayload = 1200

func benchmarkPacket(b *testing.B) []byte {
	return callerPacket(b, nil, strings.Repeat("x", benchmarkPayload))
}

// BenchmarkEntry decodes a datagram from the fabric and encodes one for a
// companion, as an entry instance does for each packet.
func BenchmarkEntry(b *testing.B) {
	datagram := fabricDatagram(benchmarkPacket(b))
	route := envelope(nil)
	var decoder geneve.Decoder
	encoder := geneve.NewEncoder()
	b.ReportAllocs()
	for b.Loop() {
		got, err := decoder.DecodeFabric(datagram)
		if err != nil {
			b.Fatal(err)
		}
		route.Inner = got.Inner
		_, err = encoder.EncodePeer(&route)
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeFabric decodes a datagram from the fabric.
func BenchmarkDecodeFabric(b *testing.B) {
	datagram := fabricDatagram(benchmarkPacket(b))
	var decoder geneve.Decoder
	b.ReportAllocs()
	for b.Loop() {
		_, err := decoder.DecodeFabric(datagram)
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodePeer decodes a datagram from an entry instance, as a companion
// does for each packet.
func BenchmarkDecodePeer(b *testing.B) {
	datagram := peerDatagram(b, benchmarkPacket(b))
	var decoder geneve.Decoder
	b.ReportAllocs()
	for b.Loop() {
		_, err := decoder.DecodePeer(datagram)
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRefuse decodes a datagram that is rejected.
func BenchmarkRefuse(b *testing.B) {
	datagram := fabricDatagram(benchmarkPacket(b)[:100])
	var decoder geneve.Decoder
	b.ReportAllocs()
	for b.Loop() {
		_, err := decoder.DecodeFabric(datagram)
		if err == nil {
			b.Fatal("decoded a truncated datagram")
		}
	}
}
