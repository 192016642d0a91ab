package coltscommand

// Each entry quarantines the requests that it suspects of crashing upstreams and refuses
// them. Operators list them here, and release a request once the engine is fixed.

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltsmembership"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

func commandSuspects() *cli.Command {
	return &cli.Command{
		Name:  "suspects",
		Usage: "list the requests that crash upstreams, or release one",
		Description: "Example:\n   coltsfootstall suspects\n" +
			"   coltsfootstall suspects --release FINGERPRINT",
		Flags: []cli.Flag{
			controlFlag(),
			&cli.StringFlag{Name: "release", Usage: "release the request with `FINGERPRINT` on every entry"},
		},
		Action: runSuspects,
	}
}

func runSuspects(ctx context.Context, c *cli.Command) error {
	request := &coltspb.SuspectsRequest{}
	if text := c.String("release"); text != "" {
		fingerprint, ok := coltsidentity.ParseDigest(text)
		if !ok {
			return errors.Errorf("--release: %q is not a fingerprint, expected 64 hexadecimal digits", text)
		}
		request.Release = fingerprint[:]
	}
	status, err := fetchStatus(ctx, c)
	if err != nil {
		return err
	}
	for _, m := range coltswire.DecodeMembers(status.GetMembers()) {
		if m.Role != coltsmembership.RoleEntry {
			continue
		}
		if err := printSuspects(ctx, c, m, request); err != nil {
			return err
		}
	}
	return nil
}

// printSuspects sends r to one entry and prints the suspects in its reply. If r names a
// fingerprint to release, the entry first releases that request.
func printSuspects(ctx context.Context, c *cli.Command, m coltsmembership.Member, r *coltspb.SuspectsRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := coltspbconnect.NewPeerClient(coltslink.NewClient(coltslink.Config{}), coltslink.URL(m.PeerAddr))
	reply, err := client.Suspects(ctx, r)
	if err != nil {
		return errors.Wrapf(err, "call instance %s", m.ID)
	}
	for _, message := range reply.GetSuspects() {
		s := coltswire.DecodeSuspect(message, time.Now())
		_, err := fmt.Fprintf(c.Writer, "%s  %s  crashed %v\n", m.ID, s.Fingerprint, s.Upstreams)
		if err != nil {
			return err
		}
	}
	return nil
}
