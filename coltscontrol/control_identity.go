package coltscontrol

// In a group that forms from seeds, an instance's identity belongs to its data folder, which holds
// the votes and entries that the instance has acknowledged. The identity is written before the
// instance first takes part. A folder without one therefore holds nothing that was acknowledged.

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

// identityFile is the name of the file that holds the identity.
const identityFile = "identity.json"

// identity is the part of an instance's state that it needs before it reads its log.
type identity struct {
	Instance coltsidentity.Instance `json:"instance"`
	// Founders are the group's first voters; empty for an instance that joined later.
	Founders []coltsidentity.Instance `json:"founders"`
}

// formsFromSeeds reports whether the group forms itself from seeds. Otherwise the settings list
// its replicas.
func (c *Control) formsFromSeeds() bool { return len(c.settings.Seeds) > 0 }

// loadIdentity sets this instance's replica ID and founders: from the settings, or from the identity
// file, which is written if there is none.
func (c *Control) loadIdentity() error {
	if !c.formsFromSeeds() {
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
	c.log.Info("The replica identity is set.", coltslog.Fields{
		"replica": id.Instance, "kept": known, "founders": len(id.Founders), "founds": c.settings.FoundsGroup,
	})
	return nil
}

// newIdentity returns an identity for an empty folder: a founder's if FoundsGroup marks the group as
// new and this instance is one of its seeds, otherwise one with a random incarnation.
func (c *Control) newIdentity() identity {
	founders := coltsmembership.Founders(c.seedAddrs())
	own := coltsmembership.Founders([]netip.AddrPort{c.settings.Addr})[0]
	if c.settings.FoundsGroup && slices.Contains(founders, own) {
		return identity{Instance: own, Founders: founders}
	}
	return identity{Instance: coltsmembership.ReplicaID(c.settings.Addr, rand.Text())}
}

// seedAddrs returns the addresses at which other instances call the seeds: the seeds' hosts with this
// instance's own port.
func (c *Control) seedAddrs() []netip.AddrPort {
	seeds := *c.seeds.Load()
	addrs := make([]netip.AddrPort, 0, len(seeds))
	for _, seed := range seeds {
		addrs = append(addrs, netip.AddrPortFrom(seed.Addr(), c.settings.Addr.Port()))
	}
	return addrs
}

// readIdentity reads the identity and reports whether there is one. An incomplete file counts as none:
// the instance had not taken part in the group when it was written.
func readIdentity(dir string) (identity, bool, error) {
	content, err := os.ReadFile(filepath.Join(dir, identityFile))
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
	return errors.Wrap(coltsjournal.WriteFileAtomic(cfg, identityFile, content), "write identity")
}
