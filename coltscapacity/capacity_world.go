package coltscapacity

// What is measured is the code itself, filled to a size.

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

// start is the time in which everything happens.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// documentOf returns a document with some organisations.
func documentOf(organisations int) coltsdocument.Document {
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

// announcementOf returns the announcement of a runner.
func announcementOf(i int) coltsfleet.Announcement {
	return coltsfleet.Announcement{
		ID:          coltsidentity.Upstream(fmt.Sprintf("runner-%05d", i)),
		Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 9000),
		Kind:        coltsdocument.KindRunner,
		DataCentre:  "north",
		Serving:     []coltsfleet.ModelVersion{{Model: "writer", Version: "w1"}},
		Incarnation: start,
		Number:      1,
		Load:        coltsfleet.Load{PrefillPerSecond: 20_000},
	}
}

// fleetOf returns a fleet of some runners.
func fleetOf(runners int) *coltsfleet.Fleet {
	f := coltsfleet.New()
	d := documentOf(1)
	for i := range runners {
		// The document trusts every one of them.
		_, _ = f.Announce(announcementOf(i), d, start)
	}
	return f
}

// coordinatorOf returns a coordinator over a fleet.
func coordinatorOf(runners int) (*coltsrequest.Coordinator, coltsdocument.Document) {
	d := documentOf(1)
	policy, _ := coltsrouting.New("expected-first-token")
	return coltsrequest.NewCoordinator(coltsrequest.Config{
		Document:    func() coltsdocument.Document { return d },
		Admission:   coltsorganisation.NewAdmission(),
		Fleet:       fleetOf(runners),
		Directory:   coltscache.NewDirectory(),
		Links:       coltscache.NewLinks(),
		Budget:      coltsattempt.NewBudget(),
		Quarantine:  coltsattempt.NewQuarantine(coltsattempt.QuarantineConfig{}),
		Policy:      policy,
		MaxAttempts: 3,
		KeepCache:   true,
	}), d
}

// decide takes the decisions of one request's whole life.
func decide(c *coltsrequest.Coordinator, d coltsdocument.Document, text []byte) {
	life, _ := c.Begin(coltsrequest.Prompt{
		ID:           coltsidentity.NewRequest(),
		Organisation: d.Sections.Organisations[0],
		Model:        "writer",
		Text:         text,
		Stream:       true,
		ArrivedAt:    start,
		Deadline:     start.Add(time.Minute),
	}, start)
	life.Prefilled(coltsrequest.PrefillResult{PromptTokens: 1000}, start)
	life.Finished(10, start)
}

// piecesOf returns names of pieces.
func piecesOf(n int) []coltscache.Piece {
	pieces := make([]coltscache.Piece, n)
	for i := range pieces {
		binary.LittleEndian.PutUint64(pieces[i][:], uint64(i)*0x9E3779B97F4A7C15)
	}
	return pieces
}

// ledgerOf returns a ledger with some calls that are done.
func ledgerOf(calls int) *coltsbooking.Ledger {
	l := coltsbooking.NewLedger()
	body := []byte(strings.Repeat("x", 100))
	for i := range calls {
		key := coltsbooking.Key{
			Organisation: "organisation-0001",
			Key:          coltsidentity.IdempotencyKey(fmt.Sprintf("booking-%08d", i)),
		}
		decision, err := l.Grant(coltsbooking.Request{Key: key, Service: "press", Holder: "entry-1"}, start)
		if err != nil {
			// Every key is new.
			panic(err)
		}
		_, _, err = l.Settle(coltsbooking.Settlement{
			Key: key, Grant: decision.Record.Grant, State: coltsbooking.StateDone,
			Answer: coltsbooking.Answer{Status: 200, ContentType: "application/json", Body: body}, ChargeMicros: 1,
		}, start)
		if err != nil {
			panic(err)
		}
	}
	return l
}

// documentText returns the text of a section with some organisations.
func documentText(organisations int) string {
	var b strings.Builder
	b.WriteString("[\n")
	for i := range organisations {
		fmt.Fprintf(&b, `  {"id": "organisation-%04d", "key-digests": [%q], "models": [{"model": "writer"}], "weight": 1, "concurrent": 64, "tokens-per-second": 20000},`+"\n",
			i, coltsidentity.Digest{byte(i), byte(i >> 8)})
	}
	b.WriteString("]")
	return b.String()
}
