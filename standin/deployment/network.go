package deployment

import (
	"net/netip"

	"zinniapulley.dev/core"
	"zinniapulley.dev/settings"
	"zinniapulley.dev/standin/link"
)

// linkEnds identifies a link. The field from is empty for the link that all
// processes other than control instances share.
type linkEnds struct {
	from, to core.InstanceID
}

// network holds the links to the control instances.
type network struct {
	links map[linkEnds]*link.Link
}

func newNetwork() *network {
	return &network{links: make(map[linkEnds]*link.Link)}
}

// connect inserts links in front of each control instance, one for each peer and one
// for all other processes, and sets the links' addresses in the settings.
func (n *network) connect(all []*settings.Settings) error {
	var controls []netip.AddrPort
	for _, to := range all {
		if to.Role != settings.RoleControl {
			continue
		}
		address, err := n.add("", to)
		if err != nil {
			return err
		}
		controls = append(controls, address)
	}
	for _, s := range all {
		if s.Role != settings.RoleControl {
			s.Controls = controls
			continue
		}
		err := n.connectPeers(s, all)
		if err != nil {
			return err
		}
	}
	return nil
}

func (n *network) connectPeers(from *settings.Settings, all []*settings.Settings) error {
	for i := range from.Control.Members {
		member := &from.Control.Members[i]
		for _, to := range all {
			if to.Instance != member.Instance || to.Instance == from.Instance {
				continue
			}
			address, err := n.add(from.Instance, to)
			if err != nil {
				return err
			}
			member.RPC = address
		}
	}
	return nil
}

func (n *network) add(from core.InstanceID, to *settings.Settings) (netip.AddrPort, error) {
	l, err := link.New(to.Control.RPC)
	if err != nil {
		return netip.AddrPort{}, err
	}
	n.links[linkEnds{from: from, to: to.Instance}] = l
	return l.Address(), nil
}

// cut cuts or restores every link to and from a control instance.
func (n *network) cut(instance core.InstanceID, cut bool) {
	directions := link.Direction(0)
	if cut {
		directions = link.Both
	}
	for ends, l := range n.links {
		if ends.from == instance || ends.to == instance {
			l.Cut(directions)
		}
	}
}

func (n *network) close() {
	for _, l := range n.links {
		l.Close()
	}
}
