package coltsevacuation

// Control and gateways act on what a newer state changes. A state may skip revisions, and the register
// drops old ends, so changes are found by comparing two states.

import (
	"time"

	"coltsfootstall/coltsidentity"
)

// Changes are the differences between two states, each sorted by data centre.
type Changes struct {
	// Begun are the data centres that are evacuated now and were not before.
	Begun []coltsidentity.DataCentre
	// Ended are the evacuations that have ended since, or whose end was not known before.
	Ended []Evacuation
}

// ChangesBetween returns what changed from one state to a newer one. An evacuation that the newer state
// lacks ended at some time in between; it counts as ended at now, the latest possible time.
func ChangesBetween(before, after State, now time.Time) Changes {
	var changes Changes
	for _, e := range after.Evacuations {
		previous, known := before.find(e.DataCentre)
		switch {
		case !e.Ended && (!known || previous.Ended):
			changes.Begun = append(changes.Begun, e.DataCentre)
		case e.Ended && (!known || !previous.Ended || e.ChangedAt.After(previous.ChangedAt)):
			changes.Ended = append(changes.Ended, e)
		}
	}
	for _, e := range before.Evacuations {
		if _, kept := after.find(e.DataCentre); !kept && !e.Ended {
			changes.Ended = append(changes.Ended, Evacuation{DataCentre: e.DataCentre, Ended: true, ChangedAt: now})
		}
	}
	return changes
}
