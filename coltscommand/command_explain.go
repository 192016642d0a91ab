package coltscommand

// Explains to an operator where a gateway would send a request now. The gateway answers from its own state
// and sends nothing.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"coltsfootstall/coltsgateway"
	"coltsfootstall/coltsresponse"
)

// maxExplanationBytes bounds the answer of a gateway: some hundred bytes for each upstream.
const maxExplanationBytes = 4 << 20

func commandExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where a gateway would send a request now, and why, without sending it",
		ArgsUsage: "METHOD PATH",
		Description: "Example:\n   coltsfootstall explain --gateway 10.0.0.7:8102 --header 'Host: pule25.example' \\\n" +
			"      --header 'Authorization: Bearer KEY' POST /puxa400/2f\n" +
			"Costs are shares of an upstream's capacity; the lowest is the best. A gateway compares the home of a\n" +
			"prompt and some upstreams that it draws at random, so it may choose one with a higher cost.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Usage: "ask the gateway whose operators' address is `ADDRESS`", Value: "127.0.0.1:8102"},
			&cli.StringSliceFlag{Name: "header", Usage: "`LINE` of the request's head, for example 'Host: pule25.example'"},
			&cli.BoolFlag{Name: "json", Usage: "print the gateway's answer as JSON"},
		},
		Action: runExplain,
	}
}

func runExplain(ctx context.Context, c *cli.Command) error {
	head, err := explainedHead(c.Args().Slice(), c.StringSlice("header"))
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(c.String("gateway"))
	if err != nil {
		return errors.Wrap(err, "gateway's address")
	}
	text, err := askForExplanation(ctx, addr, head)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		_, _ = fmt.Fprintln(c.Writer, string(text))
		return nil
	}
	var e coltsgateway.Explanation
	if err := json.Unmarshal(text, &e); err != nil {
		return errors.Wrap(err, "decode the gateway's answer")
	}
	return writeExplanation(c.Writer, e)
}

// explainedHead returns the head of the request that is given by its method, path and header lines.
func explainedHead(args, lines []string) (string, error) {
	if len(args) != 2 {
		return "", errors.Errorf("%d arguments given, expected a method and a path", len(args))
	}
	if !strings.HasPrefix(args[1], "/") || strings.ContainsAny(args[0]+args[1], " \r\n") {
		return "", errors.Errorf("method %q and path %q are not those of a request", args[0], args[1])
	}
	head := args[0] + " " + args[1] + " HTTP/1.1\r\n"
	for _, line := range lines {
		name, _, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(line, "\r\n") {
			return "", errors.Errorf("%q is not a header line, expected NAME: VALUE", line)
		}
		head += line + "\r\n"
	}
	return head + "\r\n", nil
}

// askForExplanation returns a gateway's answer.
func askForExplanation(ctx context.Context, addr netip.AddrPort, head string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := fasthttp.Client{Transport: coltsresponse.Transport{}, MaxResponseBodySize: maxExplanationBytes}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr.String() + coltsgateway.ExplainPath)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(head)
	deadline, _ := ctx.Deadline()
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.Wrap(err, "ask the gateway")
	}
	text := append([]byte(nil), resp.Body()...)
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.Errorf("the gateway answered %d: %s", status, strings.TrimSpace(string(text)))
	}
	return text, nil
}

// writeExplanation prints an explanation for people.
func writeExplanation(out io.Writer, e coltsgateway.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s", e.Outcome)
	if e.Reason != "" {
		_, _ = fmt.Fprintf(w, ": %s", e.Reason)
	}
	if e.WaitMillis > 0 {
		_, _ = fmt.Fprintf(w, "; for %d ms at most", e.WaitMillis)
	}
	if e.RetryAfterMillis > 0 {
		_, _ = fmt.Fprintf(w, "; Retry-After %d ms", e.RetryAfterMillis)
	}
	_, _ = fmt.Fprintf(w, "\nroute %s, service %s, organisation %s, route table %d, control heard %d ms ago\n",
		valueOrNone(e.Route), valueOrNone(e.Service), valueOrNone(e.Organisation), e.RouteTable, e.ControlAgeMillis)
	_, _ = fmt.Fprintf(w, "weight %g of %g, limit %g, %d queued, %d drawn at random\n\n", e.Weight, e.Capacity, e.Limit, e.Queued, e.Compared)
	_, _ = fmt.Fprintln(w, "UPSTREAM\tDATA CENTRE\tCOST\tLOAD\tHOME\tSTORE\tCOLD\tPACE\tPREFILL\tOWN\tOTHERS\tAGE MS\tEXCLUDED")
	for _, u := range e.Upstreams {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%g\t%g\t%d\t%s\n", u.Upstream, u.DataCentre, u.Cost,
			u.Load, u.HomeBonus, u.StoreBonus, u.Cold, u.Pace, u.Prefill, u.OwnLoad, u.PeerLoad, u.PeerLoadAgeMillis, u.Excluded)
	}
	return w.Flush()
}
