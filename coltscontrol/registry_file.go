package coltscontrol

// The registry of upstreams is kept in memory and rebuilt from the upstreams' own reports. After all
// control instances have stopped at once, that takes one reporting period, in which callers could not
// be served. So each instance saves what it knows to a file and starts with that. An upstream that
// does not report within the usual time then counts as silent, as after a change of the leader.

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsloop"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
)

const (
	// registryFile is the name of the file, in the data folder.
	registryFile = "upstreams.pb"
	// registrySavePeriod is how often the file is written, if anything has changed.
	registrySavePeriod = 250 * time.Millisecond
)

// saveRegistry saves the registry after changes, until ctx ends. It has a loop of its own because a
// disk may take seconds to write.
func (c *Control) saveRegistry(ctx context.Context) {
	saved := uint64(0)
	failed := false
	coltsloop.Every(ctx, registrySavePeriod, func() {
		if _, revision := c.registry.ChangedSince(saved); revision == saved {
			return
		}
		entries, revision := c.registry.ChangedSince(0)
		content, err := proto.Marshal(&coltspb.WatchReply{Entries: coltswire.EncodeRegistryEntries(entries, c.cfg.Now())})
		if err == nil {
			cfg := coltsjournal.Config{Dir: c.settings.DataFolder, Sync: c.cfg.Sync}
			err = coltsjournal.WriteFileAtomic(cfg, registryFile, content)
		}
		if err != nil {
			if !failed {
				c.log.Warn("The registry of upstreams can't be saved.", coltslog.Fields{"error": err})
			}
			failed = true
			return
		}
		saved, failed = revision, false
	})
}

// loadRegistry restores the registry that was saved. Without a usable file the registry stays empty.
func (c *Control) loadRegistry() {
	entries, savedAt, err := readRegistry(c.settings.DataFolder)
	if err != nil {
		c.log.Warn("The saved registry of upstreams can't be used.", coltslog.Fields{"error": err})
		return
	}
	now := c.cfg.Now()
	for _, e := range coltswire.DecodeRegistryEntries(entries, savedAt) {
		c.registry.Mirror(e, now)
	}
	// The state may have been applied before, to a registry without these entries.
	c.applyDepartures()
	if len(entries) > 0 {
		c.log.Info("The registry of upstreams was restored.", coltslog.Fields{"upstreams": len(entries)})
	}
}

// readRegistry reads the saved entries and when they were saved, from which the remaining times in
// them count. It returns none if there is no file.
func readRegistry(dir string) ([]*coltspb.RegistryEntry, time.Time, error) {
	path := filepath.Join(dir, registryFile)
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, time.Time{}, nil
	}
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "read upstreams")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, time.Time{}, errors.Wrap(err, "read upstreams")
	}
	var reply coltspb.WatchReply
	if err := proto.Unmarshal(content, &reply); err != nil {
		return nil, time.Time{}, errors.Wrap(err, "decode upstreams")
	}
	for _, e := range reply.GetEntries() {
		if !coltswire.DecodeReportedUpstream(e.GetUpstream(), info.ModTime()).Addr.IsValid() {
			return nil, time.Time{}, errors.New("decode upstreams: an address is invalid")
		}
	}
	return reply.GetEntries(), info.ModTime(), nil
}
