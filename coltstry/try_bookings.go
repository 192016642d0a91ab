package coltstry

// Each booking of the day shows one thing that can go wrong with a call that may
// not be repeated.

import (
	"fmt"
	"text/tabwriter"

	"coltsfootstall/coltscaller"
	"coltsfootstall/coltsstandin"
	"coltsfootstall/coltssystem"
)

// booking is one call of the day.
type booking struct {
	what string
	call coltscaller.Call
	// entry is the entry that it is sent to.
	entry int
	// dropAnswer makes the press break the connection after it has run the call.
	dropAnswer bool
}

// bookingTable lists the calls in their order.
var bookingTable = []booking{
	{what: "a press run", call: press("run-1", `{"sheets": 500}`)},
	{what: "the same, sent again to another entry", call: press("run-1", `{"sheets": 500}`), entry: 1},
	{what: "the same key with another body", call: press("run-1", `{"sheets": 900}`), entry: 1},
	{what: "a press run without a key", call: press("", `{"sheets": 20}`)},
	{what: "a press run whose answer is lost", call: press("run-2", `{"sheets": 70}`), dropAnswer: true},
	{what: "the same, sent again", call: press("run-2", `{"sheets": 70}`), entry: 1},
}

func press(key, body string) coltscaller.Call {
	return coltscaller.Call{Service: coltssystem.ServiceName, Path: "runs", Key: key, Body: []byte(body)}
}

func (d *day) bookings() error {
	_, _ = fmt.Fprintln(d.w, "\nAfternoon: bookings, which may not be repeated.")
	client := coltscaller.New(coltscaller.Config{Key: coltssystem.KeySeedPaper})
	t := tabwriter.NewWriter(d.w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nBOOKING\tSTATUS\tOUTCOME\tREASON\tRUNS OF ITS KEY")
	for _, b := range bookingTable {
		for _, s := range d.system.Services {
			s.SetFaults(coltsstandin.Faults{DropAnswer: b.dropAnswer})
		}
		reply, err := client.Call(d.entry(b.entry), b.call)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", b.what, reply.Status, outcomeOf(reply), reply.Reason, d.runsOf(b.call.Key))
	}
	return t.Flush()
}

func outcomeOf(r coltscaller.CallReply) string {
	if r.Replayed {
		return r.Outcome + " (answer replayed)"
	}
	return r.Outcome
}

// runsOf returns how often the services have run a key.
func (d *day) runsOf(key string) string {
	if key == "" {
		return "-"
	}
	runs := 0
	for _, s := range d.system.Services {
		runs += s.Runs()[key]
	}
	return fmt.Sprint(runs)
}
