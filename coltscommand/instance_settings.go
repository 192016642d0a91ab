package coltscommand

// Reading an instance's settings at its start. A supervisor restarts an instance that exits, so
// invalid settings would end in a crash loop that repeats the error many times a minute. With
// --await-settings the instance logs the error once and waits for the file to change.

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltssettings"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "settings",
		Usage: "read settings from `FILE`, JSON with comments; without it the defaults apply",
	}
}

func awaitSettingsFlag() cli.Flag {
	return &cli.BoolFlag{
		Name:  "await-settings",
		Usage: "if the settings are invalid, log why and wait until the file is corrected instead of exiting",
	}
}

// instanceFlags are the flags of every command that runs an instance.
func instanceFlags() []cli.Flag { return []cli.Flag{settingsFlag(), awaitSettingsFlag()} }

// loadSettings reads the settings of the instance that c runs.
func loadSettings(ctx context.Context, c *cli.Command, sighups <-chan os.Signal) (coltssettings.Settings, error) {
	file := c.String("settings")
	if file == "" {
		return coltssettings.Default(), nil
	}
	settings, err := coltssettings.Load(file)
	if err == nil || !c.Bool("await-settings") {
		return settings, err
	}
	defaults := coltssettings.Default()
	defaults.LogJSON = true
	return awaitSettings(ctx, file, err, sighups, newLog(c, defaults).Logger("settings"))
}

// awaitSettings reads a file with invalid settings again on each SIGHUP and every reloadPeriod, until
// the settings are valid or ctx ends. It logs each distinct error once, beginning with err.
func awaitSettings(
	ctx context.Context, file string, err error, sighups <-chan os.Signal, log *coltslog.Logger,
) (coltssettings.Settings, error) {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	logged := ""
	for {
		if err.Error() != logged {
			logged = err.Error()
			log.Error("The settings can't be used; waiting for them to be corrected.", coltslog.Fields{"file": file, "error": err})
		}
		select {
		case <-ctx.Done():
			return coltssettings.Settings{}, ctx.Err()
		case <-sighups:
		case <-ticker.C:
		}
		var settings coltssettings.Settings
		if settings, err = coltssettings.Load(file); err == nil {
			return settings, nil
		}
	}
}
