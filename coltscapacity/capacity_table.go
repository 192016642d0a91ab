package coltscapacity

// The measures are entered in one table with what grows, what carries it, and what
// it comes to at the planned size. The letter's figures stand here once.

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

// The plan, from the users' letter.
const (
	planNodes            = 360
	planRunners          = 600
	planRequestsPerSec   = 4900
	planPrompts          = 2_700_000
	planOrganisations    = 910
	planChangesPerDay    = 2100
	secondsPerDay        = 86_400
	limitCoreShare       = 1.3
	limitMegabytes       = 256
	limitBytesPerSec     = 5000
	megabyte             = 1 << 20
	wholePercent         = 100
	decisionsPerPoint    = 300
	bookingsPerDayToday  = 5000
	bookingRetentionDays = 30
	// spreadTo and spreadPeriod are those of coltsentry and coltsfleet: an entry
	// passes each upstream's sign of life on to three others every three seconds.
	spreadTo     = 3
	spreadPeriod = 3
)

// table lists the measures.
var table = []measure{
	{
		name: "decision", size: "runners", unit: "s a request",
		sizes: []float64{18, 75, 200, 600}, planned: planRunners,
		take: func(n int) float64 {
			c, d := coordinatorOf(n)
			text := make([]byte, coltscache.BytesPerToken*1000)
			return timeOf(decisionsPerPoint, func() {
				for range decisionsPerPoint {
					decide(c, d, text)
				}
			})
		},
		role: "entry: decisions", mechanism: "coltsrequest.Life over coltsfleet.Select",
		sums: []sum{{
			what: "of a core for each node's requests", unit: "%", limit: limitCoreShare,
			of: func(s float64) float64 { return s * planRequestsPerSec / planNodes * wholePercent },
		}},
	},
	{
		name: "fleet's view", size: "upstreams", unit: "bytes",
		sizes: []float64{60, 200, 600}, planned: planRunners,
		take: func(n int) float64 { return bytesOf(func() any { return fleetOf(n) }) },
		role: "entry: fleet's view", mechanism: "coltsfleet.Fleet",
		sums: []sum{{what: "of memory", unit: "MB", limit: limitMegabytes, of: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "signs of life", size: "upstreams", unit: "bytes a round",
		sizes: []float64{60, 200, 600}, planned: planRunners,
		take: func(n int) float64 {
			request := &coltspb.ShareRequest{}
			for i := range n {
				request.Announcements = append(request.Announcements, coltswire.EncodeAnnouncement(announcementOf(i)))
			}
			return float64(proto.Size(request))
		},
		role: "entry: news among entries", mechanism: "coltsentry.peerLink, spreadTo and spreadPeriod",
		sums: []sum{{
			what: "a second for each node, sending each upstream's sign of life to three others every 3 s",
			unit: "bytes", limit: limitBytesPerSec,
			of: func(b float64) float64 { return b * spreadTo / spreadPeriod },
		}},
	},
	{
		name: "directory", size: "pieces", unit: "bytes",
		sizes: []float64{20_000, 100_000, 400_000}, planned: planPrompts * 5 / planNodes,
		take: func(n int) float64 {
			pieces := piecesOf(n)
			return bytesOf(func() any {
				d := coltscache.NewDirectory()
				d.Record(pieces, "runner-00001", start)
				return d
			})
		},
		role: "entry: directory (its share of 2.7 M prompts of five pieces, assumed)", mechanism: "coltscache.Directory, bounded to 524,288 pieces",
		sums: []sum{{what: "of memory", unit: "MB", limit: limitMegabytes, of: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "admission", size: "organisations", unit: "bytes",
		sizes: []float64{91, 300, 910}, planned: planOrganisations,
		take: func(n int) float64 {
			d := documentOf(n)
			return bytesOf(func() any {
				a := coltsorganisation.NewAdmissionController()
				for _, o := range d.Sections.Organisations {
					// None of them is limited.
					_ = a.Admit(o, 1, start)
				}
				// The document is kept too, or its end would be counted.
				return []any{a, d}
			})
		},
		role: "entry: admission", mechanism: "coltsorganisation.Admission",
		sums: []sum{{what: "of memory", unit: "MB", limit: limitMegabytes, of: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "document, text", size: "organisations", unit: "bytes",
		sizes: []float64{91, 300, 910}, planned: planOrganisations,
		take: func(n int) float64 { return float64(len(documentText(n))) },
		role: "control and entry: the document's feed", mechanism: "coltscontrol.Follow sends the whole document",
		sums: []sum{{
			what: "a second for each node, each change sending the whole document", unit: "bytes", limit: limitBytesPerSec,
			of: func(b float64) float64 { return b * planChangesPerDay / secondsPerDay },
		}},
	},
	{
		name: "document, reading", size: "organisations", unit: "s a change",
		sizes: []float64{91, 300, 910}, planned: planOrganisations,
		take: func(n int) float64 {
			text := []byte(documentText(n))
			return timeOf(1, func() { coltscodec.DecodeSection(coltsdocument.SectionOrganisations, text) })
		},
		role: "control and entry: the document's feed", mechanism: "coltscodec.DecodeSection",
		sums: []sum{{
			what: "of a core for each node", unit: "%", limit: limitCoreShare,
			of: func(s float64) float64 { return s * planChangesPerDay / secondsPerDay * wholePercent },
		}},
	},
	{
		name: "ledger, memory", size: "calls kept", unit: "bytes",
		sizes: []float64{10_000, 50_000, 200_000}, planned: bookingsPerDayToday * bookingRetentionDays,
		take: func(n int) float64 { return bytesOf(func() any { return ledgerOf(n) }) },
		role: "control: bookings (5,000 a day for 30 days, assumed)", mechanism: "coltsbooking.Ledger",
		sums: []sum{{what: "of memory", unit: "MB", limit: limitMegabytes, of: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "snapshot", size: "calls kept", unit: "bytes",
		sizes: []float64{10_000, 50_000, 200_000}, planned: bookingsPerDayToday * bookingRetentionDays,
		take: func(n int) float64 { return float64(len(snapshotOf(n))) },
		role: "control: log", mechanism: "coltswire.MarshalSnapshot, when the log is as long as the last snapshot",
		sums: []sum{{what: "on disk", unit: "MB", of: func(b float64) float64 { return b / megabyte }}},
	},
	{
		name: "recovery", size: "calls kept", unit: "s",
		sizes: []float64{10_000, 50_000, 200_000}, planned: bookingsPerDayToday * bookingRetentionDays,
		take: func(n int) float64 {
			return timeOf(1, restoring(snapshotOf(n)))
		},
		role: "control: log", mechanism: "coltswire.UnmarshalSnapshot, coltsstate.Import",
	},
	{
		name: "use, batches", size: "lines", unit: "bytes",
		sizes: []float64{10, 100, 1000}, planned: planRequestsPerSec / planNodes,
		take: func(n int) float64 {
			batch := coltsusage.Batch{Instance: "entry-001", Started: start, Number: 1}
			for i := range n {
				batch.Lines = append(batch.Lines, coltsusage.Line{
					Organisation: documentOf(i + 1).Sections.Organisations[i].ID, Item: "writer",
					Amounts: coltsusage.Amounts{Requests: 1, Computed: 1000, Reused: 9000, Generated: 300, Micros: 700},
				})
			}
			return float64(proto.Size(coltswire.EncodeUsageBatch(batch)))
		},
		role: "control: usage (each request of a second by another organisation, the worst case)", mechanism: "coltsusage.Batcher, once a second",
		sums: []sum{
			{what: "a second from each node", unit: "bytes", limit: limitBytesPerSec, of: func(b float64) float64 { return b }},
			{what: "a second into the log from all nodes", unit: "bytes", of: func(b float64) float64 { return b * planNodes }},
		},
	},
}

// snapshotOf returns the bytes of a snapshot with some calls.
func snapshotOf(calls int) []byte {
	m := coltsstate.NewMachine()
	m.Ledger = ledgerOf(calls)
	content, err := coltswire.MarshalSnapshot(m.Export())
	if err != nil {
		// A state that was built here marshals.
		panic(err)
	}
	return content
}

// bookingBytes returns the bytes in the log for one call: its grant and settlement.
func bookingBytes() int {
	key := coltsbooking.Key{Organisation: "organisation-0001", Key: "booking-00000001"}
	grant, _ := coltswire.MarshalCommand(coltsstate.Command{
		Kind: coltsstate.CommandGrant, At: start, Grant: coltsbooking.Request{Key: key, Service: "press", Holder: "entry-1"},
	})
	settle, _ := coltswire.MarshalCommand(coltsstate.Command{
		Kind: coltsstate.CommandSettle, At: start, Settle: coltsbooking.Settlement{
			Key: key, Grant: 1, State: coltsbooking.StateDone,
			Answer: coltsbooking.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 100)},
		},
	})
	return len(grant) + len(settle)
}
