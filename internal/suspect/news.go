package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/peer/peerpb"
)

// rowsPerRecord is the maximum number of rows per record: one for the deaths that
// count, and one without deaths for those that were cleared.
const rowsPerRecord = 2

// News returns at most limit rows to send to other entries. Half of them come from
// the records that changed last. The others rotate through all records, so that an
// entry that has just started receives all of them.
func (r *Registry) News(limit int) []*peerpb.Suspect {
	now := r.options.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fingerprints := r.selected(limit / rowsPerRecord)
	rows := make([]*peerpb.Suspect, 0, limit)
	for _, fingerprint := range fingerprints {
		record, ok := r.records.Peek(fingerprint)
		if ok && !record.expired(now, r.options) {
			rows = append(rows, rowsOf(fingerprint, record, now)...)
		}
	}
	return rows
}

// selected returns the fingerprints of the records to send. r.mu must be held.
func (r *Registry) selected(count int) []Fingerprint {
	fingerprints := r.records.Keys()
	if len(fingerprints) <= count {
		return fingerprints
	}
	picked := make(map[Fingerprint]struct{}, count)
	for range count - count/2 {
		r.cursor = (r.cursor + 1) % len(fingerprints)
		picked[fingerprints[r.cursor]] = struct{}{}
	}
	slices.SortFunc(fingerprints, r.compareChanges)
	for _, fingerprint := range fingerprints[:count/2] {
		picked[fingerprint] = struct{}{}
	}
	selected := make([]Fingerprint, 0, len(picked))
	for fingerprint := range picked {
		selected = append(selected, fingerprint)
	}
	return selected
}

// compareChanges orders records by their last change, latest first.
func (r *Registry) compareChanges(a, b Fingerprint) int {
	left, _ := r.records.Peek(a)
	right, _ := r.records.Peek(b)
	return cmp.Compare(right.change, left.change)
}

// NewsOf returns the rows of one request, which are sent to all entries at once when
// an endpoint died while the request ran on it.
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
	if openDeaths := record.openDeaths(); len(openDeaths) > 0 || record.convicted {
		rows = append(rows, &peerpb.Suspect{
			Fingerprint: fingerprint[:], Deaths: int32(len(openDeaths)), Convicted: record.convicted, AgeMs: age, Endpoints: openDeaths,
		})
	}
	if len(record.cleared) > 0 {
		rows = append(rows, &peerpb.Suspect{Fingerprint: fingerprint[:], AgeMs: age, Endpoints: slices.Clone(record.cleared)})
	}
	return rows
}

// Merge merges rows of another entry. Their order and duplicates make no difference.
// The age of a row does not include its time in transit, so the time of the last death
// may be late by that much.
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
	merged := r.lookupOrCreate(fingerprint)
	changed := addAll(&merged.deaths, row.GetEndpoints())
	if row.GetDeaths() == 0 && !row.GetConvicted() {
		changed = addAll(&merged.cleared, row.GetEndpoints()) || changed
	}
	if row.GetConvicted() && !merged.convicted {
		merged.convicted, changed = true, true
	}
	merged.raiseLastDeath(lastDeath)
	if changed {
		r.markChanged(merged)
	}
}
