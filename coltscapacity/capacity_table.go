package coltscapacity

// All benchmarks are listed in one table, each with the quantity that grows, the code
// that causes the cost, and the figures derived for the planned size. The figures of the
// users' plan are constants here and nowhere else.

import (
	"google.golang.org/protobuf/proto"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsorganisation"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

// The size that the users plan for, and their limits on its cost.
const (
	planNodes          = 360
	planRunners        = 600
	planRequestsPerSec = 4900
	planPrompts        = 2_700_000
	planOrganisations  = 910
	// planChangesPerDay is the number of document changes a day.
	planChangesPerDay = 2100
	secondsPerDay     = 86_400
	// limitCorePercent, limitMegabytes and limitBytesPerSec are the limits on CPU time (in
	// percent of a core), memory and traffic that each derived figure is compared with.
	limitCorePercent = 1.3
	limitMegabytes   = 256
	limitBytesPerSec = 5000
	megabyte         = 1 << 20
	// wholePercent is 100%, in hundredths.
	wholePercent = 100
	// decisionsPerPoint is the number of requests decided in each timed run.
	decisionsPerPoint    = 300
	bookingsPerDayToday  = 5000
	bookingRetentionDays = 30
	// gossipFanout and gossipPeriodSeconds repeat the values of coltsentry and
	// coltsfleet: an entry passes each upstream's heartbeat on to three other entries
	// every three seconds.
	gossipFanout        = 3
	gossipPeriodSeconds = 3
)

// benchmarks lists all benchmarks, in the order of the tables.
var benchmarks = []benchmark{
	{
		name: "decision", size: "runners", unit: "s per request",
		sizes: []float64{18, 75, 200, 600}, planned: planRunners,
		run: func(n int) float64 {
			c, d := newCoordinator(n)
			text := make([]byte, coltscache.BytesPerToken*1000)
			return minSecondsPerOp(decisionsPerPoint, func() {
				for range decisionsPerPoint {
					decide(c, d, text)
				}
			})
		},
		role: "entry: decisions", mechanism: "coltsrequest.Lifecycle over coltsfleet.Select",
		derived: []derivedFigure{{
			description: "of a core for each node's requests", unit: "%", limit: limitCorePercent,
			compute: func(s float64) float64 { return s * planRequestsPerSec / planNodes * wholePercent },
		}},
	},
	{
		name: "fleet's view", size: "upstreams", unit: "bytes",
		sizes: []float64{60, 200, 600}, planned: planRunners,
		run:  func(n int) float64 { return heapBytes(func() any { return newFleet(n) }) },
		role: "entry: fleet's view", mechanism: "coltsfleet.Fleet",
		derived: []derivedFigure{{description: "of memory", unit: "MB", limit: limitMegabytes, compute: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "signs of life", size: "upstreams", unit: "bytes per round",
		sizes: []float64{60, 200, 600}, planned: planRunners,
		run: func(n int) float64 {
			request := &coltspb.ShareRequest{}
			for i := range n {
				request.Announcements = append(request.Announcements, coltswire.EncodeAnnouncement(newAnnouncement(i)))
			}
			return float64(proto.Size(request))
		},
		role: "entry: gossip between entries", mechanism: "coltsentry.peerLink, fanout and interval of the gossip",
		derived: []derivedFigure{{
			description: "per second and node, passing each upstream's heartbeat on to three other entries every 3 s",
			unit:        "bytes", limit: limitBytesPerSec,
			compute: func(b float64) float64 { return b * gossipFanout / gossipPeriodSeconds },
		}},
	},
	{
		name: "directory", size: "pieces", unit: "bytes",
		sizes: []float64{20_000, 100_000, 400_000}, planned: planPrompts * 5 / planNodes,
		run: func(n int) float64 {
			pieces := newPieces(n)
			return heapBytes(func() any {
				d := coltscache.NewDirectory()
				d.Record(pieces, "runner-00001", startTime)
				return d
			})
		},
		role: "entry: directory (assumed: its share of 2.7 M prompts of five pieces each)", mechanism: "coltscache.Directory, limited to 524,288 pieces",
		derived: []derivedFigure{{description: "of memory", unit: "MB", limit: limitMegabytes, compute: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "admission", size: "organisations", unit: "bytes",
		sizes: []float64{91, 300, 910}, planned: planOrganisations,
		run: func(n int) float64 {
			d := newDocument(n)
			return heapBytes(func() any {
				a := coltsorganisation.NewAdmissionController()
				for _, o := range d.Sections.Organisations {
					// The organisations have no limits, so all are admitted.
					_ = a.Admit(o, 1, startTime)
				}
				// The document must stay reachable, too. Otherwise it would be garbage-collected
				// and its size subtracted from the result.
				return []any{a, d}
			})
		},
		role: "entry: admission", mechanism: "coltsorganisation.AdmissionController",
		derived: []derivedFigure{{description: "of memory", unit: "MB", limit: limitMegabytes, compute: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "document, text", size: "organisations", unit: "bytes",
		sizes: []float64{91, 300, 910}, planned: planOrganisations,
		run:  func(n int) float64 { return float64(len(organisationsText(n))) },
		role: "control and entry: the document's feed", mechanism: "coltscontrol.Follow sends the whole document",
		derived: []derivedFigure{{
			description: "per second and node; each change sends the whole document", unit: "bytes", limit: limitBytesPerSec,
			compute: func(b float64) float64 { return b * planChangesPerDay / secondsPerDay },
		}},
	},
	{
		name: "document, reading", size: "organisations", unit: "s per change",
		sizes: []float64{91, 300, 910}, planned: planOrganisations,
		run: func(n int) float64 {
			text := []byte(organisationsText(n))
			return minSecondsPerOp(1, func() { coltscodec.DecodeSection(coltsdocument.SectionOrganisations, text) })
		},
		role: "control and entry: the document's feed", mechanism: "coltscodec.DecodeSection",
		derived: []derivedFigure{{
			description: "of a core on each node", unit: "%", limit: limitCorePercent,
			compute: func(s float64) float64 { return s * planChangesPerDay / secondsPerDay * wholePercent },
		}},
	},
	{
		name: "ledger, memory", size: "calls kept", unit: "bytes",
		sizes: []float64{10_000, 50_000, 200_000}, planned: bookingsPerDayToday * bookingRetentionDays,
		run:  func(n int) float64 { return heapBytes(func() any { return newLedger(n) }) },
		role: "control: bookings (assumed: 5,000 a day, kept for 30 days)", mechanism: "coltsbooking.Ledger",
		derived: []derivedFigure{{description: "of memory", unit: "MB", limit: limitMegabytes, compute: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "snapshot", size: "calls kept", unit: "bytes",
		sizes: []float64{10_000, 50_000, 200_000}, planned: bookingsPerDayToday * bookingRetentionDays,
		run:  func(n int) float64 { return float64(len(newSnapshot(n))) },
		role: "control: log", mechanism: "coltswire.MarshalSnapshot, when the log is as long as the last snapshot",
		derived: []derivedFigure{{description: "on disk", unit: "MB", compute: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "recovery", size: "calls kept", unit: "s",
		sizes: []float64{10_000, 50_000, 200_000}, planned: bookingsPerDayToday * bookingRetentionDays,
		run: func(n int) float64 {
			return minSecondsPerOp(1, restoreFunc(newSnapshot(n)))
		},
		role: "control: log", mechanism: "coltswire.UnmarshalSnapshot, coltsstate.Import",
	},
	{
		name: "use, batches", size: "lines", unit: "bytes",
		sizes: []float64{10, 100, 1000}, planned: planRequestsPerSec / planNodes,
		run: func(n int) float64 {
			batch := coltsusage.Batch{Instance: "entry-001", Started: startTime, Number: 1}
			for i := range n {
				batch.Lines = append(batch.Lines, coltsusage.Line{
					Organisation: newDocument(i + 1).Sections.Organisations[i].ID, Item: "writer",
					Amounts: coltsusage.Amounts{Requests: 1, Computed: 1000, Reused: 9000, Generated: 300, Micros: 700},
				})
			}
			return float64(proto.Size(coltswire.EncodeUsageBatch(batch)))
		},
		role: "control: usage (worst case: each request within a second is from a different organisation)", mechanism: "coltsusage.Batcher, once a second",
		derived: []derivedFigure{
			{description: "per second from each node", unit: "bytes", limit: limitBytesPerSec, compute: func(b float64) float64 { return b }},
			{description: "per second into the log from all nodes", unit: "bytes", compute: func(b float64) float64 { return b * planNodes }},
		},
	},
}

// newSnapshot returns an encoded snapshot whose ledger holds the given number of calls.
func newSnapshot(calls int) []byte {
	m := coltsstate.NewMachine()
	m.Ledger = newLedger(calls)
	content, err := coltswire.MarshalSnapshot(m.Export())
	if err != nil {
		// The state is built in this package and always marshals.
		panic(err)
	}
	return content
}

// loggedBytesPerCall returns the size of the log entries of one call, its grant and its
// settlement, in bytes.
func loggedBytesPerCall() int {
	key := coltsbooking.Key{Organisation: "organisation-0001", Key: "booking-00000001"}
	grant, _ := coltswire.MarshalCommand(coltsstate.Command{
		Kind: coltsstate.CommandGrant, At: startTime, Grant: coltsbooking.Request{Key: key, Service: "press", Holder: "entry-1"},
	})
	settle, _ := coltswire.MarshalCommand(coltsstate.Command{
		Kind: coltsstate.CommandSettle, At: startTime, Settle: coltsbooking.Settlement{
			Key: key, Grant: 1, State: coltsbooking.StateDone,
			Answer: coltsbooking.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 100)},
		},
	})
	return len(grant) + len(settle)
}
