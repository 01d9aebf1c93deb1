package passthrough

import "time"

// CallerCopies is how many copies of an opening packet a caller sends. The acknowledgement
// field of each holds its number.
const CallerCopies = 2

// copyTimes is how long after its first opening packet a caller sends each copy.
var copyTimes = [CallerCopies + 1]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// WaitedWhenSent returns how long the caller of an opening packet has waited at least when
// it sends the packet.
func (p *Packet) WaitedWhenSent() time.Duration { return copyTimes[min(p.Ack, CallerCopies)] }
