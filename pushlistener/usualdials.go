package pushlistener

import "time"

// maxAddresses bounds the addresses whose usual time is known.
const maxAddresses = 8192

// UsualDials holds how long connections to each address usually take. The zero value knows none. It is not
// safe for concurrent use.
type UsualDials struct {
	lowest map[string]time.Duration
}

// Record records a connection that took that long. It returns how much longer that is than the shortest time
// to the address before; ok is false for the first one.
func (u *UsualDials) Record(address string, took time.Duration) (delay time.Duration, ok bool) {
	before, known := u.lowest[address]
	if !known || took < before {
		if u.lowest == nil || len(u.lowest) >= maxAddresses {
			u.lowest = make(map[string]time.Duration)
		}
		u.lowest[address] = took
	}
	return max(0, took-before), known
}
