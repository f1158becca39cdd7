package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// rowsPerRecord is the number of rows that one record takes at most: one for
// the deaths that count, one, with no deaths, for those that were cleared.
const rowsPerRecord = 2

// News returns at most limit rows for other entries: half of them are what
// changed last, the others go through all records by turns, so that an entry
// that has just started learns everything.
func (r *Registry) News(limit int) []*peerpb.Suspect {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fingerprints := r.chosen(limit / rowsPerRecord)
	rows := make([]*peerpb.Suspect, 0, limit)
	for _, fingerprint := range fingerprints {
		record, ok := r.records.Peek(fingerprint)
		if ok && !record.expired(now, r.options) {
			rows = append(rows, rowsOf(fingerprint, record, now)...)
		}
	}
	return rows
}

// chosen picks the records to tell; r.mu is held.
func (r *Registry) chosen(count int) []Fingerprint {
	all := r.records.Keys()
	if len(all) <= count {
		return all
	}
	picked := make(map[Fingerprint]struct{}, count)
	for range count - count/2 {
		r.cursor = (r.cursor + 1) % len(all)
		picked[all[r.cursor]] = struct{}{}
	}
	slices.SortFunc(all, r.compareChanges)
	for _, fingerprint := range all[:count/2] {
		picked[fingerprint] = struct{}{}
	}
	chosen := make([]Fingerprint, 0, len(picked))
	for fingerprint := range picked {
		chosen = append(chosen, fingerprint)
	}
	return chosen
}

// compareChanges orders the record that changed last first.
func (r *Registry) compareChanges(a, b Fingerprint) int {
	left, _ := r.records.Peek(a)
	right, _ := r.records.Peek(b)
	return cmp.Compare(right.change, left.change)
}

// NewsOf returns the rows of one request, to be sent to all entries at once
// when an endpoint died of it.
func (r *Registry) NewsOf(fingerprint Fingerprint) []*peerpb.Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.lookup(fingerprint)
	if record == nil {
		return nil
	}
	return rowsOf(fingerprint, record, r.options.Now())
}

func rowsOf(fingerprint Fingerprint, record *record, now time.Time) []*peerpb.Suspect {
	age := now.Sub(record.lastDeath).Milliseconds()
	var rows []*peerpb.Suspect
	if open := record.open(); len(open) > 0 || record.convicted {
		rows = append(rows, &peerpb.Suspect{
			Fingerprint: fingerprint[:], Deaths: int32(len(open)), Convicted: record.convicted, AgeMs: age, Endpoints: open,
		})
	}
	if len(record.cleared) > 0 {
		rows = append(rows, &peerpb.Suspect{Fingerprint: fingerprint[:], AgeMs: age, Endpoints: slices.Clone(record.cleared)})
	}
	return rows
}

// Merge takes another entry's rows over. The order and the number of times in
// which rows come make no difference, but for the time that they were under way.
func (r *Registry) Merge(rows []*peerpb.Suspect) {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if len(row.GetFingerprint()) == FingerprintSize && row.GetAgeMs() >= 0 {
			r.mergeRow(Fingerprint(row.GetFingerprint()), row, now.Add(-time.Duration(row.GetAgeMs())*time.Millisecond))
		}
	}
}

func (r *Registry) mergeRow(fingerprint Fingerprint, row *peerpb.Suspect, lastDeath time.Time) {
	incoming := &record{convicted: row.GetConvicted(), lastDeath: lastDeath}
	if incoming.expired(r.options.Now(), r.options) {
		return
	}
	merged := r.obtain(fingerprint)
	changed := addAll(&merged.deaths, row.GetEndpoints())
	if row.GetDeaths() == 0 && !row.GetConvicted() {
		changed = addAll(&merged.cleared, row.GetEndpoints()) || changed
	}
	if row.GetConvicted() && !merged.convicted {
		merged.convicted, changed = true, true
	}
	merged.seen(lastDeath)
	if changed {
		r.changed(merged)
	}
}
