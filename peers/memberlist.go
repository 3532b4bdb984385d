package peers

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MemberList is a list of all gateways as it was read from the store.
type MemberList struct {
	Members []Member
}

// Hash identifies the list, in whatever order; it is not 0.
func (l MemberList) Hash() uint64 {
	sorted := slices.Clone(l.Members)
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	h := xxhash.New()
	for _, m := range sorted {
		address := m.Address.Addr().As16()
		_, _ = h.WriteString(m.Name + "|" + m.DataCentre + "|")
		_, _ = h.Write(address[:])
		_ = binary.Write(h, binary.BigEndian, m.Address.Port()) // writes to a hash never fail
	}
	return max(1, h.Sum64())
}
