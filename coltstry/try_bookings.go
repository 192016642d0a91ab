package coltstry

// Each booking demonstrates one case of a call that must run at most once, such as a
// duplicate request or a lost answer.

import (
	"fmt"
	"text/tabwriter"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltsstandin"
	"coltsfootstall/coltssystem"
)

// booking is one call of the demo.
type booking struct {
	// description is the text shown for the booking.
	description string
	call        coltscaller.Call
	// entry is the index of the entry that the call is sent to.
	entry int
	// dropAnswer makes the press service close the connection after it has run the
	// call, without sending the answer.
	dropAnswer bool
}

// bookingTable lists the calls in the order in which they are sent.
var bookingTable = []booking{
	{description: "a press run", call: pressCall("run-1", `{"sheets": 500}`)},
	{description: "the same, sent again to another entry", call: pressCall("run-1", `{"sheets": 500}`), entry: 1},
	{description: "the same key with another body", call: pressCall("run-1", `{"sheets": 900}`), entry: 1},
	{description: "a press run without a key", call: pressCall("", `{"sheets": 20}`)},
	{description: "a press run whose answer is lost", call: pressCall("run-2", `{"sheets": 70}`), dropAnswer: true},
	{description: "the same, sent again", call: pressCall("run-2", `{"sheets": 70}`), entry: 1},
}

// pressCall returns a call of the press service with an idempotency key; an empty key
// sends none.
func pressCall(key, body string) coltscaller.Call {
	return coltscaller.Call{Service: coltssystem.ServiceName, Path: "runs", IdempotencyKey: key, Body: []byte(body)}
}

// runBookings sends the bookings and prints the result of each.
func (d *demo) runBookings() error {
	_, _ = fmt.Fprintln(d.w, "\nAfternoon: bookings, which must not run more than once.")
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	t := tabwriter.NewWriter(d.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nBOOKING\tSTATUS\tOUTCOME\tREASON\tRUNS WITH THIS KEY")
	for _, b := range bookingTable {
		for _, s := range d.system.Services {
			s.SetFaults(coltsstandin.Faults{DropAnswer: b.dropAnswer})
		}
		reply, err := client.Call(d.entryAddr(b.entry), b.call)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", b.description, reply.Status, formatOutcome(reply), reply.Reason, d.countRuns(b.call.IdempotencyKey))
	}
	return t.Flush()
}

// formatOutcome returns the outcome of a call, and marks an answer that was replayed.
func formatOutcome(r coltscaller.CallReply) string {
	if r.Replayed {
		return r.Outcome + " (answer replayed)"
	}
	return r.Outcome
}

// countRuns returns how often the services ran the call with an idempotency key, or a
// dash if the key is empty.
func (d *demo) countRuns(key string) string {
	if key == "" {
		return "-"
	}
	runs := 0
	for _, s := range d.system.Services {
		runs += s.Runs()[key]
	}
	return fmt.Sprint(runs)
}
