// Package proof decides which reads of the platform's store prove that a gateway has the operators' newest
// configuration. It is pure: the times are arguments.
//
// The store may be restored from an older copy of itself. It then lacks the latest writes, among them withdrawals of
// keys, until they are written again, and its era has increased. A process that has just started does not know how long
// the era that it sees has lasted.
package proof

import (
	"time"

	"github.com/micarudder/micarudder/availability"
)

// window is how long after a restore the latest writes may be missing.
const window = availability.ReturnWindow

// Proofs is what a gateway knows of the reads that reached the store. The zero value knows of none.
type Proofs struct {
	newest time.Time // when the latest read was sent that proved the configuration in force
	// unproven is when the latest read was sent that reached the store and proved nothing, and empty when the latest was
	// that found no configuration at all.
	unproven, empty time.Time
	// suspendedAt is when the host's latest suspension was noticed. A read that was sent before it proves nothing,
	// however short the time that the clock has counted since.
	suspendedAt time.Time
	eras        eras
}

// eras is what a gateway knows of the store's era.
type eras struct {
	known      uint64    // the newest; 0: none
	seenAt     time.Time // when this gateway first heard of it
	restoredAt time.Time // the same, if an earlier one was known before; zero: none was
	settled    uint64    // the newest one of which it is known that its store has all writes again
	recorded   uint64    // the one that the store's own record names as settled, as far as is known
	ownRead    uint64    // the one in which this gateway's own reads have proved the configuration
	asked      bool      // whether that record was read
	firstStart bool      // whether the installation starts for the first time
}

// New returns what a gateway knows when it starts. On the first start of an installation the store has lost nothing.
func New(firstStart bool) Proofs { return Proofs{eras: eras{firstStart: firstStart}} }

// RecordPeer records that another gateway's read, sent at that time, proved the configuration in force. It reports
// whether that is newer than the previous proof. That gateway has judged its read by what it knew of the era.
func (p *Proofs) RecordPeer(sent time.Time) bool {
	if sent.Before(p.eras.restoredAt.Add(window)) && !p.eras.restoredAt.IsZero() {
		return false
	}
	return p.record(sent)
}

// RecordOwn records that a read of this gateway, sent at that time, returned the configuration in force. It reports
// whether that is a newer proof. If the store may lack the latest writes, the read is one that proves nothing.
func (p *Proofs) RecordOwn(sent time.Time) bool {
	if !p.eras.complete(sent) {
		p.RecordUnproven(sent)
		return false
	}
	if !p.record(sent) {
		return false
	}
	p.eras.settled, p.eras.ownRead = p.eras.known, p.eras.known
	return true
}

func (p *Proofs) record(sent time.Time) bool {
	if !sent.After(p.newest) || sent.Before(p.suspendedAt) {
		return false
	}
	p.newest = sent
	return true
}

// RecordUnproven records that a read sent at that time, by this gateway or another one, reached the store and proved
// nothing. It reports whether that is news.
func (p *Proofs) RecordUnproven(sent time.Time) bool {
	if !sent.After(p.unproven) || sent.Before(p.suspendedAt) {
		return false
	}
	p.unproven = sent
	return true
}

// RecordEmpty records that a read sent at that time found no configuration at all.
func (p *Proofs) RecordEmpty(sent time.Time) {
	if sent.After(p.empty) && !sent.Before(p.suspendedAt) {
		p.empty = sent
	}
}

// Drop drops the proof, since it was noticed now that the host had been suspended.
func (p *Proofs) Drop(now time.Time) { p.newest, p.suspendedAt = time.Time{}, now }

// Newest returns when the read was sent that gave the newest proof; zero: there is none.
func (p *Proofs) Newest() time.Time { return p.newest }

// Unproven returns when the latest read was sent that proved nothing, if it is newer than the proof.
func (p *Proofs) Unproven() (sent time.Time, ok bool) { return p.unproven, p.unproven.After(p.newest) }

// Empty returns when the latest read was sent that found no configuration; zero: there was none.
func (p *Proofs) Empty() time.Time { return p.empty }

// ObserveEra records an era that the store, or another gateway, has announced. It reports whether the store was restored
// since the previous one.
func (p *Proofs) ObserveEra(era uint64, now time.Time) (restored bool) {
	e := &p.eras
	if era <= e.known {
		return false
	}
	restored = e.known != 0
	e.known, e.seenAt = era, now
	switch {
	case restored:
		e.restoredAt = now
	case e.firstStart:
		e.settled = era
	}
	return restored
}

// Era returns the newest known era of the store, 0 for none.
func (p *Proofs) Era() uint64 { return p.eras.known }

// RecordSettled records that the store's own record, as it stood in the newest known era, names this era as one in which
// it has all writes again; 0: there is no record.
func (p *Proofs) RecordSettled(era uint64) {
	p.eras.recorded, p.eras.asked = era, true
	if era == p.eras.known {
		p.eras.settled = era
	}
}

// NeedsRecord reports whether only the store's own record can tell whether a read sent now proves the configuration.
func (p *Proofs) NeedsRecord(now time.Time) bool {
	e := p.eras
	switch {
	case e.firstStart || !e.restoredAt.IsZero():
		return false
	case e.known == 0:
		return !e.asked // a store without eras is never restored
	default:
		return !e.complete(now)
	}
}

// UnrecordedEra returns the era that is missing in the store's record, as far as is known: one in which this gateway's
// own reads have proved the configuration. It returns 0 for none.
func (p *Proofs) UnrecordedEra() uint64 {
	if e := p.eras; e.ownRead == e.known && e.recorded != e.known {
		return e.known
	}
	return 0
}

// complete reports whether a read that was sent at that time, and answered in the newest known era, found all writes.
func (e eras) complete(sent time.Time) bool {
	return e.known == 0 || e.settled == e.known || !sent.Before(e.seenAt.Add(window))
}
