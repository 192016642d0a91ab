package coltsload

// Faults are entered in one table by their names.

import (
	"time"

	"coltsfootstall/coltsstandin"
	"coltsfootstall/coltssystem"
)

// faultMember begins a fault and ends it; end is nil for one that stays.
type faultMember struct {
	begin func(s *coltssystem.System, f Fault)
	end   func(s *coltssystem.System, f Fault)
}

// faultTable lists the kinds of fault.
var faultTable = map[string]faultMember{
	"slow-runners": {begin: slowRunners, end: soundRunners},
	"slow-stores":  {begin: slowStores, end: soundStores},
	"crash-stores": {begin: crashStores},
	"leave":        {begin: leaveRunners},
	"silence-open": {begin: silenceOpen},
}

func slowRunners(s *coltssystem.System, f Fault) {
	for _, r := range s.Runners[:f.Count] {
		r.SetFaults(coltsstandin.Faults{Slowdown: f.Factor})
	}
}

func soundRunners(s *coltssystem.System, f Fault) {
	for _, r := range s.Runners[:f.Count] {
		r.SetFaults(coltsstandin.Faults{})
	}
}

func slowStores(s *coltssystem.System, f Fault) {
	for _, st := range s.Stores[:f.Count] {
		st.SetFaults(coltsstandin.Faults{Slowdown: f.Factor})
	}
}

func soundStores(s *coltssystem.System, f Fault) {
	for _, st := range s.Stores[:f.Count] {
		st.SetFaults(coltsstandin.Faults{})
	}
}

func crashStores(s *coltssystem.System, f Fault) {
	for _, st := range s.Stores[:f.Count] {
		st.Crash()
	}
}

func leaveRunners(s *coltssystem.System, f Fault) {
	for _, r := range s.Runners[:f.Count] {
		r.Leave()
	}
}

func silenceOpen(s *coltssystem.System, f Fault) {
	for _, r := range s.Runners[:f.Count] {
		if p, proxied := s.Proxies[r.ID()]; proxied {
			p.SilenceOpen()
		}
	}
}

// schedule brings a fault about at its time and ends it.
func (f Fault) schedule(s *coltssystem.System, start time.Time, stop <-chan struct{}) {
	member := faultTable[f.Kind]
	if !sleepUntil(start.Add(f.At), stop) {
		return
	}
	member.begin(s, f)
	if member.end == nil || !sleepUntil(start.Add(f.At+f.For), stop) {
		return
	}
	member.end(s, f)
}

// sleepUntil waits for a time and says whether it came before the stop.
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
