package serving

import "github.com/sapphirehaven/sapphirehaven/internal/core/ident"

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// key is the hash state after a rendezvous key, so that computing the weight of a host
// hashes only the host's ID.
type key uint64

func newKey(text string) key {
	return key(fnv1a(fnvOffset, text) * fnvPrime)
}

func setKey(service ident.ServiceName, region ident.Region) string {
	return string(service) + "\x00" + string(region)
}

func spareKey(service ident.ServiceName) string {
	return string(service) + "\x00spare"
}

// weight returns the rendezvous weight of a host. The final mixing step (the
// splitmix64 finalizer) is required, because FNV-1a alone leaves the high bits of similar host IDs correlated.
func (k key) weight(id ident.HostID) uint64 {
	x := fnv1a(uint64(k), string(id))
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func fnv1a(state uint64, text string) uint64 {
	for i := range len(text) {
		state ^= uint64(text[i])
		state *= fnvPrime
	}
	return state
}
