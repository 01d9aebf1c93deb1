package geneve_test

import (
	"bytes"
	"testing"

	"zinniapulley.dev/wire/geneve"
)

func FuzzDecodeFabric(f *testing.F) {
	packet := callerPacket(f, nil, "hello")
	f.Add(fabricDatagram(packet))
	f.Add(fabricDatagram(packet, 0x01, 0x02, 0x03, 0x01, 1, 2, 3, 4))
	f.Add(peerDatagram(f, packet))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var decoder geneve.Decoder
		before := bytes.Clone(datagram)
		got, err := decoder.DecodeFabric(datagram)
		if !bytes.Equal(before, datagram) {
			t.Fatal("the datagram was changed")
		}
		if err != nil {
			isDrop(t, err)
			return
		}
		again, err := geneve.NewEncoder().EncodeFabric(got.Network, got.Inner.Packet)
		if err != nil {
			t.Fatal(err)
		}
		same, err := decoder.DecodeFabric(again)
		if err != nil || same.Inner.Key != got.Inner.Key || !bytes.Equal(same.Inner.Packet, got.Inner.Packet) {
			t.Fatalf("decoded %+v, again %+v, %v", got, same, err)
		}
	})
}

func FuzzDecodePeer(f *testing.F) {
	packet := callerPacket(f, nil, "hello")
	f.Add(peerDatagram(f, packet))
	f.Add(fabricDatagram(packet))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var decoder geneve.Decoder
		got, err := decoder.DecodePeer(datagram)
		if err != nil {
			isDrop(t, err)
			return
		}
		again, err := geneve.NewEncoder().EncodePeer(&got)
		if err != nil {
			t.Fatal(err)
		}
		same, err := decoder.DecodePeer(again)
		if err != nil || same.Hops != got.Hops || same.Hop() != got.Hop() || same.Inner.Key != got.Inner.Key {
			t.Fatalf("decoded %+v, again %+v, %v", got, same, err)
		}
	})
}

func isDrop(t *testing.T, err error) {
	t.Helper()
	drop, ok := err.(geneve.Drop)
	if !ok || drop >= geneve.DropCount {
		t.Fatalf("error %v is not a Drop", err)
	}
}
