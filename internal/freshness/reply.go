package freshness

import "time"

// unknownAge is the age in a reply that confirms nothing. Replies of nodes that do not know
// this field have it too.
const unknownAge = 0

// ReplyAge returns the age, in microseconds, that a node's reply from its cache contains. The
// cache contained all changes up to the confirmed instant when the reply was composed;
// arrived is when the call arrived. Both are instants of the replying node.
func ReplyAge(arrived, confirmed Instant) int64 {
	if confirmed == None {
		return unknownAge
	}
	const microsecond = int64(time.Microsecond)
	return max((int64(arrived.Since(confirmed))+microsecond-1)/microsecond, unknownAge+1)
}

// OfReply returns the instant that a reply of another node with the given age confirms. sent
// is when this node sent its call, which is before the call arrived there.
func OfReply(sent Instant, age int64) Instant {
	if age <= unknownAge || age > int64(sent)/int64(time.Microsecond) {
		return None
	}
	return sent.before(time.Duration(age) * time.Microsecond)
}

// OfPages returns the instant that a range read in several calls confirms, given the instants
// of the pages before and of the last page.
func OfPages(before, page Instant) Instant { return min(before, page) }
