package coltscommand

// Operators can send a call to any control instance. If one does not answer, the call
// goes to the next one.

import (
	"context"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"coltsfootstall/coltsjsonc"
	"coltsfootstall/coltslink"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// operatorKeyVariable is the environment variable that holds the operator key. The
	// key is not a flag because other users of the machine can see command lines.
	operatorKeyVariable = "COLTSFOOTSTALL_OPERATOR_KEY"
	// callTimeout is the timeout of one call to an instance.
	callTimeout = 10 * time.Second
)

func controlFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "control",
		Usage:   "call the control instances at `ADDRESSES`, separated by commas",
		Value:   "127.0.0.1:8090",
		Sources: cli.EnvVars("COLTSFOOTSTALL_CONTROL"),
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

func operatorKey() (string, error) {
	key := os.Getenv(operatorKeyVariable)
	if key == "" {
		return "", errors.Errorf("set %s to your operator key", operatorKeyVariable)
	}
	return key, nil
}

// callControl calls one control instance after another, in the order of --control, until
// a call succeeds. timeout applies to each call separately.
func callControl(
	ctx context.Context, c *cli.Command, timeout time.Duration,
	call func(context.Context, coltspbconnect.ControlClient) error,
) error {
	client := coltslink.NewClient(coltslink.Config{})
	var lastErr error
	for _, text := range strings.Split(c.String("control"), ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return errors.Errorf("--control: %q is not an address and port such as 127.0.0.1:8090", text)
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		lastErr = call(callCtx, coltspbconnect.NewControlClient(client, coltslink.URL(addr)))
		cancel()
		if lastErr == nil {
			return nil
		}
	}
	return errors.WithMessage(lastErr, "no control instance answered")
}

// suggestion returns the hint to append to an error about an unknown name: the most
// similar known name, or an empty string if none is similar.
func suggestion(name string, known []string) string {
	return coltsjsonc.Suggest(name, known)
}
