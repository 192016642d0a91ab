package coltscommand

// Settings may change while an instance runs, with a signal or without one. What can
// change then is taken over; a file that can't be read or is invalid changes nothing.

import (
	"context"
	"os"
	"time"

	"coltsfootstall/coltslog"
	"coltsfootstall/coltssettings"
)

// reloadPeriod is how often the settings file is looked at for changes that nobody
// signalled; its content is read only if its time or size differ.
const reloadPeriod = 2 * time.Second

// reloader reads the settings file again.
type reloader struct {
	file  string
	log   *coltslog.Part
	apply func(coltssettings.Settings)

	changedAt time.Time
	size      int64
}

// run reloads at each hang-up and at each change of the file until ctx ends.
func (r *reloader) run(ctx context.Context, hangUps <-chan os.Signal) {
	r.isChanged()
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			r.reload("signal")
		case <-ticker.C:
			if r.isChanged() {
				r.reload("file changed")
			}
		}
	}
}

// isChanged says whether the file's time or size differ from those last seen.
func (r *reloader) isChanged() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		// Without a file there is nothing to read again.
		return false
	}
	changed := !info.ModTime().Equal(r.changedAt) || info.Size() != r.size
	r.changedAt, r.size = info.ModTime(), info.Size()
	return changed
}

func (r *reloader) reload(cause string) {
	if r.apply == nil || r.file == "" {
		r.log.Info("Nothing can be changed while this instance runs.", coltslog.Fields{"cause": cause})
		return
	}
	settings, err := coltssettings.Load(r.file)
	if err != nil {
		r.log.Error("The settings can't be read; those before stay in force.", coltslog.Fields{"cause": cause, "error": err})
		return
	}
	r.apply(settings)
	r.log.Info("Settings were read again.", coltslog.Fields{"cause": cause})
}
