package coltsattempt

import (
	"time"

	"coltsfootstall/coltsidentity"
)

// RecordCrash records the crash of an upstream on a request that was sent after all crashes before.
func (q *Quarantine) RecordCrash(f coltsidentity.Digest, upstream coltsidentity.Upstream, now time.Time) Suspect {
	return q.Record(f, Crash{Upstream: upstream, SentAt: now, At: now}, now)
}
