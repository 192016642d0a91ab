package coltscontrol

// In a group that forms itself, an instance's identity is that of its disk: votes
// and entries that it has promised to keep are on it. The identity is written before
// the instance takes part for the first time, and a folder without one belongs to an
// instance that has promised nothing yet.

import (
	"crypto/rand"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmembership"
)

// identityName is the file that holds the identity.
const identityName = "identity.json"

// identity is what an instance must know of itself before it reads its log.
type identity struct {
	Instance coltsidentity.Instance `json:"instance"`
	// Founders are the group's first voters; empty for one that joined later.
	Founders []coltsidentity.Instance `json:"founders"`
}

// formsItself says whether the group forms itself rather than by settings.
func (c *Control) formsItself() bool { return len(c.settings.Seeds) > 0 }

// identify finds out which replica this instance is.
func (c *Control) identify() error {
	if !c.formsItself() {
		c.replicaID = c.id()
		return nil
	}
	id, known, err := readIdentity(c.settings.DataFolder)
	if err != nil {
		return err
	}
	if !known {
		id = c.newIdentity()
		if err := c.writeIdentity(id); err != nil {
			return err
		}
	}
	c.replicaID, c.founders = id.Instance, id.Founders
	c.log.Info("Identity known.", coltslog.Fields{
		"replica": id.Instance, "kept": known, "founders": len(id.Founders), "founds": c.settings.Founds,
	})
	return nil
}

// newIdentity makes an identity for an empty folder: a founder's, if the group is
// founded now and this instance is one of its seeds.
func (c *Control) newIdentity() identity {
	founders := coltsmembership.Founders(c.seedAddrs())
	own := coltsmembership.Founders([]netip.AddrPort{c.settings.Addr})[0]
	if c.settings.Founds && slices.Contains(founders, own) {
		return identity{Instance: own, Founders: founders}
	}
	return identity{Instance: coltsmembership.ReplicaID(c.settings.Addr, rand.Text())}
}

// seedAddrs returns where the seeds are reached by other instances: the seeds'
// hosts, and the port that this instance uses itself.
func (c *Control) seedAddrs() []netip.AddrPort {
	seeds := *c.seeds.Load()
	addrs := make([]netip.AddrPort, 0, len(seeds))
	for _, seed := range seeds {
		addrs = append(addrs, netip.AddrPortFrom(seed.Addr(), c.settings.Addr.Port()))
	}
	return addrs
}

// readIdentity reads the identity and says whether there is one. A file that was not
// written whole counts as none: nothing was promised under it.
func readIdentity(dir string) (identity, bool, error) {
	content, err := os.ReadFile(filepath.Join(dir, identityName))
	if os.IsNotExist(err) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, errors.Wrap(err, "read identity")
	}
	var id identity
	if err := json.Unmarshal(content, &id); err != nil || id.Instance == "" {
		return identity{}, false, nil //nolint:nilerr // see above
	}
	return id, true, nil
}

func (c *Control) writeIdentity(id identity) error {
	content, err := json.Marshal(id)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	cfg := coltsjournal.Config{Dir: c.settings.DataFolder, Sync: c.cfg.Sync}
	return errors.Wrap(coltsjournal.WriteFileAtomic(cfg, identityName, content), "write identity")
}
