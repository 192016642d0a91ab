package coltscommand

// A running instance reloads its settings file on SIGHUP and when the file changes. It
// applies the settings that can change at run time. If the file is unreadable or
// invalid, the instance keeps its settings.

import (
	"context"
	"os"
	"time"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltssettings"
)

// reloadPeriod is the interval at which the settings file is checked for changes
// without a signal. The file is read only if its modification time or size differ.
const reloadPeriod = 2 * time.Second

// reloader reloads the settings file of a running instance.
type reloader struct {
	// file is the path of the settings file; empty if the instance has none.
	file string
	log  *coltslog.Logger
	// apply applies reloaded settings; nil if none can change at run time.
	apply func(coltssettings.Settings)

	// modTime and size are those of the file at the last check.
	modTime time.Time
	size    int64
}

// run reloads the settings on each SIGHUP and on each change of the file, until ctx
// ends.
func (r *reloader) run(ctx context.Context, sighups <-chan os.Signal) {
	r.checkModified()
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			r.reload("signal")
		case <-ticker.C:
			if r.checkModified() {
				r.reload("file changed")
			}
		}
	}
}

// checkModified reports whether the file's modification time or size differ from those
// of the previous check, and stores them for the next one.
func (r *reloader) checkModified() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		// A missing or inaccessible file counts as unchanged.
		return false
	}
	changed := !info.ModTime().Equal(r.modTime) || info.Size() != r.size
	r.modTime, r.size = info.ModTime(), info.Size()
	return changed
}

// reload reads the file and applies it. cause is logged.
func (r *reloader) reload(cause string) {
	if r.apply == nil || r.file == "" {
		r.log.Info("This instance can't reload settings while it runs.", coltslog.Fields{"cause": cause})
		return
	}
	settings, err := coltssettings.Load(r.file)
	if err != nil {
		r.log.Error("The settings can't be reloaded; the previous ones stay in force.", coltslog.Fields{"cause": cause, "error": err})
		return
	}
	r.apply(settings)
	r.log.Info("Settings were reloaded.", coltslog.Fields{"cause": cause})
}
