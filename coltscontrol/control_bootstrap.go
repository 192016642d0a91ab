package coltscontrol

// A group that has no operators yet takes its first document from a file, section
// by section and without reviews. Operators come last: from then on every change
// is reviewed. Each section's change has a fixed identity, so that another leader
// can go on where one stopped.

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsstate"
)

// bootstrapPause is the pause after a try that failed.
const bootstrapPause = 200 * time.Millisecond

// bootstrapOrder is an order in which every section's references are in force
// before it.
var bootstrapOrder = []coltsdocument.SectionName{
	coltsdocument.SectionModels,
	coltsdocument.SectionPricing,
	coltsdocument.SectionObjectives,
	coltsdocument.SectionUpstreams,
	coltsdocument.SectionOrganisations,
	coltsdocument.SectionOperators,
}

// loadInitialDocument reads the initial document, if there is one, and checks it.
func (c *Control) loadInitialDocument() error {
	if c.cfg.InitialDocument == nil && c.settings.InitialDocument != "" {
		text, err := os.ReadFile(c.settings.InitialDocument)
		if err != nil {
			return errors.Wrap(err, "read initial document")
		}
		c.cfg.InitialDocument = text
	}
	if len(c.cfg.InitialDocument) == 0 {
		return nil
	}
	if _, problems := coltscodec.DecodeDocument(c.cfg.InitialDocument); len(problems) > 0 {
		return &coltsdocument.InvalidError{Problems: problems}
	}
	return nil
}

// bootstrap puts the initial document in force once this instance leads a group
// without operators. It ends when the group has some, or with ctx.
func (c *Control) bootstrap(ctx context.Context) {
	if len(c.cfg.InitialDocument) == 0 {
		return
	}
	for ctx.Err() == nil {
		led, revised := c.led.Channel(), c.revised.Channel()
		if len(c.machine.Register.Current().Sections.Operators) > 0 {
			return
		}
		var retry <-chan time.Time
		if c.driver.view.Load().leads {
			if err := c.bootstrapSections(ctx); err == nil {
				c.log.Info("Initial document in force.", coltslog.Fields{"revision": c.Revision()})
				return
			}
			retry = time.After(bootstrapPause)
		}
		select {
		case <-ctx.Done():
		case <-led:
		case <-revised:
		case <-retry:
		}
	}
}

func (c *Control) bootstrapSections(ctx context.Context) error {
	// What an earlier leader has put in force must be applied first.
	if err := c.driver.barrier(ctx); err != nil {
		return err
	}
	sources, _ := coltscodec.SplitDocument(c.cfg.InitialDocument)
	for _, name := range bootstrapOrder {
		for _, source := range sources {
			if source.Name != name {
				continue
			}
			if err := c.bootstrapSection(ctx, source); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Control) bootstrapSection(ctx context.Context, source coltscodec.SectionSource) error {
	content, _ := coltscodec.DecodeSection(source.Name, source.Text)
	id := coltsidentity.Change("initial-" + string(source.Name))
	if rec, known := c.machine.Register.Find(id); known && rec.State == coltsdocument.ChangeAccepted {
		return nil
	}
	base := c.Revision()
	if rec, known := c.machine.Register.Find(id); known {
		base = rec.Change.Base
	}
	result, err := c.driver.submit(ctx, coltsstate.Command{
		Kind: coltsstate.CommandPropose,
		Propose: coltsdocument.Change{
			ID:        id,
			Section:   source.Name,
			Base:      base,
			Content:   content,
			Text:      string(source.Text),
			Bootstrap: true,
		},
	})
	if err == nil && result.Err == nil {
		result, err = c.driver.submit(ctx, coltsstate.Command{
			Kind:   coltsstate.CommandAccept,
			Accept: coltsstate.ChangeApproval{Change: id},
		})
	}
	if err == nil {
		err = result.Err
	}
	return errors.Wrapf(err, "put initial section %s in force", source.Name)
}
