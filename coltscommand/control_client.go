package coltscommand

// Operators may ask any control instance; the next one is asked if one does not
// answer.

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
	// operatorKeyVariable names the environment variable with the key, which
	// must not stand in the command line, where other users see it.
	operatorKeyVariable = "COLTSFOOTSTALL_OPERATOR_KEY"
	// callTimeout bounds one question to a control instance.
	callTimeout = 10 * time.Second
)

func controlFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "control",
		Usage:   "ask the control instances at `ADDRESSES`, separated by commas",
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

// askControl calls one control instance after another until one answers.
func askControl(
	ctx context.Context, c *cli.Command, timeout time.Duration,
	call func(context.Context, coltspbconnect.ControlClient) error,
) error {
	client := coltslink.NewClient(coltslink.Config{})
	var last error
	for _, text := range strings.Split(c.String("control"), ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return errors.Errorf("--control: %q is not an address and port such as 127.0.0.1:8090", text)
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		last = call(callCtx, coltspbconnect.NewControlClient(client, coltslink.URL(addr)))
		cancel()
		if last == nil {
			return nil
		}
	}
	return errors.WithMessage(last, "no control instance answered")
}

// suggestion returns a near miss for an unknown name, or nothing.
func suggestion(name string, known []string) string {
	return coltsjsonc.Suggest(name, known)
}
