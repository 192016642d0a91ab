package coltscommand

// The status shows an operator which instances are alive and which lag behind the
// current revision.

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

func commandStatus() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "list the live instances and the revision in force on each",
		Description: "Example:\n   coltsfootstall status --control 10.0.0.1:8090,10.0.0.2:8090",
		Flags:       []cli.Flag{controlFlag()},
		Action:      runStatus,
	}
}

func fetchStatus(ctx context.Context, c *cli.Command) (*coltspb.StatusReply, error) {
	var reply *coltspb.StatusReply
	err := callControl(ctx, c, callTimeout, func(ctx context.Context, client coltspbconnect.ControlClient) error {
		var err error
		reply, err = client.Status(ctx, &coltspb.StatusRequest{})
		return err
	})
	return reply, err
}

func runStatus(ctx context.Context, c *cli.Command) error {
	reply, err := fetchStatus(ctx, c)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "revision %d, %d bookings in the ledger\n", reply.GetRevision(), reply.GetBookings())
	_, _ = fmt.Fprintf(w, "leader %s, term %d, log index %d, voters %v, learners %v\n\n", valueOrNone(reply.GetLeader()),
		reply.GetTerm(), reply.GetLogIndex(), reply.GetConfiguration().GetVoters(), reply.GetConfiguration().GetLearners())
	_, _ = fmt.Fprintln(w, "INSTANCE\tROLE\tDATA CENTRE\tREADY\tREVISION\tOPERATORS' ADDRESS")
	for _, m := range coltswire.DecodeMembers(reply.GetMembers()) {
		_, _ = fmt.Fprintln(w, formatMember(m))
	}
	return w.Flush()
}

func valueOrNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

func formatMember(m coltsmembership.Member) string {
	return fmt.Sprintf("%s\t%s\t%s\t%t\t%d\t%s", m.ID, m.Role, m.DataCentre, m.Ready, m.Revision, m.OperatorAddr)
}
