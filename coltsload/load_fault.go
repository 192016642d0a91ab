package coltsload

// The faults of a scenario are injected into the running system at fixed times.

import (
	"time"

	"coltsfootstall/coltsstandin"
	"coltsfootstall/coltssystem"
)

// faultKind holds the functions that begin and end a kind of fault. end is nil if the fault lasts
// until the run ends.
type faultKind struct {
	begin func(s *coltssystem.System, f Fault)
	end   func(s *coltssystem.System, f Fault)
}

// faultTable holds the kinds of fault by the value of Fault.Kind.
var faultTable = map[string]faultKind{
	"slow-runners": {begin: slowRunners, end: clearRunnerFaults},
	"slow-stores":  {begin: slowStores, end: clearStoreFaults},
	"crash-stores": {begin: crashStores},
	"leave":        {begin: leaveRunners},
	"silence-open": {begin: silenceOpen},
}

func slowRunners(s *coltssystem.System, f Fault) {
	for _, r := range s.Runners[:f.Count] {
		r.SetFaults(coltsstandin.Faults{Slowdown: f.Factor})
	}
}

func clearRunnerFaults(s *coltssystem.System, f Fault) {
	for _, r := range s.Runners[:f.Count] {
		r.SetFaults(coltsstandin.Faults{})
	}
}

func slowStores(s *coltssystem.System, f Fault) {
	for _, store := range s.Stores[:f.Count] {
		store.SetFaults(coltsstandin.Faults{Slowdown: f.Factor})
	}
}

func clearStoreFaults(s *coltssystem.System, f Fault) {
	for _, store := range s.Stores[:f.Count] {
		store.SetFaults(coltsstandin.Faults{})
	}
}

func crashStores(s *coltssystem.System, f Fault) {
	for _, store := range s.Stores[:f.Count] {
		store.Crash()
	}
}

func leaveRunners(s *coltssystem.System, f Fault) {
	for _, r := range s.Runners[:f.Count] {
		r.Leave()
	}
}

func silenceOpen(s *coltssystem.System, f Fault) {
	for _, r := range s.Runners[:f.Count] {
		if p, ok := s.Proxies[r.ID()]; ok {
			p.SilenceOpen()
		}
	}
}

// schedule waits for the fault's start time, injects it and ends it after its duration, unless
// stop is closed first.
func (f Fault) schedule(s *coltssystem.System, start time.Time, stop <-chan struct{}) {
	kind := faultTable[f.Kind]
	if !sleepUntil(start.Add(f.At), stop) {
		return
	}
	kind.begin(s, f)
	if kind.end == nil || !sleepUntil(start.Add(f.At+f.For), stop) {
		return
	}
	kind.end(s, f)
}

// sleepUntil waits until t or until stop is closed, and reports whether it waited until t. A nil
// stop is never closed.
func sleepUntil(t time.Time, stop <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-stop:
		return false
	case <-timer.C:
		return true
	}
}
