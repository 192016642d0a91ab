package coltscapacity

// The benchmarks run the production code. This file fills its data structures to a given
// size.

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"coltsfootstall/coltsattempt"
	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltscache"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsfleet"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsorganisation"
	"coltsfootstall/coltsrequest"
	"coltsfootstall/coltsrouting"
)

// startTime is the current time in all benchmarks.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newDocument returns a document with the given number of organisations.
func newDocument(organisations int) coltsdocument.Document {
	d := coltsdocument.Document{Revision: 1}
	d.Sections.Models = []coltsdocument.Model{{ID: "writer", Current: "w1", Versions: []coltsidentity.Version{"w1"}}}
	d.Sections.Upstreams.Trusted = []coltsdocument.TrustRule{
		{Network: netip.MustParsePrefix("10.0.0.0/8"), Kind: coltsdocument.KindRunner, DataCentre: "north"},
	}
	for i := range organisations {
		d.Sections.Organisations = append(d.Sections.Organisations, coltsdocument.Organisation{
			ID:         coltsidentity.Organisation(fmt.Sprintf("organisation-%04d", i)),
			KeyDigests: []coltsidentity.Digest{{byte(i), byte(i >> 8)}},
			Models:     []coltsdocument.ModelGrant{{Model: "writer"}},
			Weight:     1,
		})
	}
	return d
}

// newAnnouncement returns the announcement of runner i.
func newAnnouncement(i int) coltsfleet.Announcement {
	return coltsfleet.Announcement{
		ID:          coltsidentity.Upstream(fmt.Sprintf("runner-%05d", i)),
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000),
		Kind:        coltsdocument.KindRunner,
		DataCentre:  "north",
		Serving:     []coltsfleet.ModelVersion{{Model: "writer", Version: "w1"}},
		Incarnation: startTime,
		Number:      1,
		Load:        coltsfleet.Load{PrefillPerSecond: 20_000},
	}
}

// newFleet returns a fleet with the given number of runners.
func newFleet(runners int) *coltsfleet.Fleet {
	f := coltsfleet.New()
	d := newDocument(1)
	for i := range runners {
		// The document trusts all runners, so no announcement is rejected.
		_, _ = f.Announce(newAnnouncement(i), d, startTime)
	}
	return f
}

// newCoordinator returns a coordinator for a fleet with the given number of runners, and
// its document.
func newCoordinator(runners int) (*coltsrequest.Coordinator, coltsdocument.Document) {
	d := newDocument(1)
	policy, _ := coltsrouting.New("expected-first-token")
	return coltsrequest.NewCoordinator(coltsrequest.Config{
		Document:    func() coltsdocument.Document { return d },
		Admission:   coltsorganisation.NewAdmissionController(),
		Fleet:       newFleet(runners),
		Directory:   coltscache.NewDirectory(),
		Links:       coltscache.NewLinks(),
		Budget:      coltsattempt.NewRetryBudget(),
		Quarantine:  coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{}),
		Policy:      policy,
		MaxAttempts: 3,
		KeepCache:   true,
	}), d
}

// decide makes all decisions of one request, from its arrival to its end.
func decide(c *coltsrequest.Coordinator, d coltsdocument.Document, text []byte) {
	lifecycle, _ := c.Begin(coltsrequest.Prompt{
		ID:           coltsidentity.NewRequest(),
		Organisation: d.Sections.Organisations[0],
		Model:        "writer",
		Text:         text,
		Stream:       true,
		ArrivedAt:    startTime,
		Deadline:     startTime.Add(time.Minute),
	}, startTime)
	lifecycle.Prefilled(coltsrequest.PrefillResult{PromptTokens: 1000}, startTime)
	lifecycle.Finished(10, startTime)
}

// newPieces returns n distinct pieces.
func newPieces(n int) []coltscache.Piece {
	pieces := make([]coltscache.Piece, n)
	for i := range pieces {
		binary.LittleEndian.PutUint64(pieces[i][:], uint64(i)*0x9E3779B97F4A7C15)
	}
	return pieces
}

// newLedger returns a ledger with the given number of completed calls.
func newLedger(calls int) *coltsbooking.Ledger {
	l := coltsbooking.NewLedger()
	body := []byte(strings.Repeat("x", 100))
	for i := range calls {
		key := coltsbooking.Key{
			Organisation: "organisation-0001",
			Key:          coltsidentity.IdempotencyKey(fmt.Sprintf("booking-%08d", i)),
		}
		decision, err := l.Grant(coltsbooking.Request{Key: key, Service: "press", Holder: "entry-1"}, startTime)
		if err != nil {
			// Each key is used once, so every call is granted.
			panic(err)
		}
		_, _, err = l.Settle(coltsbooking.Settlement{
			Key: key, Grant: decision.Record.Grant, State: coltsbooking.StateDone,
			Answer: coltsbooking.Answer{Status: 200, ContentType: "application/json", Body: body}, ChargeMicros: 1,
		}, startTime)
		if err != nil {
			panic(err)
		}
	}
	return l
}

// organisationsText returns the JSON of a section with the given number of organisations.
func organisationsText(organisations int) string {
	var b strings.Builder
	b.WriteString("[\n")
	for i := range organisations {
		fmt.Fprintf(&b, `  {"id": "organisation-%04d", "key-digests": [%q], "models": [{"model": "writer"}], "weight": 1, "concurrent": 64, "tokens-per-second": 20000},`+"\n",
			i, coltsidentity.Digest{byte(i), byte(i >> 8)})
	}
	b.WriteString("]")
	return b.String()
}
