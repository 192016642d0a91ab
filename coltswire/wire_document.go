package coltswire

// A section crosses the wire as the operator wrote it, comments included, and is
// read again by each process, so that there is one form of it and not two.

import (
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeChange returns a change's message.
func EncodeChange(c coltsdocument.Change) *coltspb.Change {
	return &coltspb.Change{
		Id:        string(c.ID),
		Section:   string(c.Section),
		Base:      uint64(c.Base),
		Author:    string(c.Author),
		Text:      c.Text,
		Bootstrap: c.Bootstrap,
	}
}

// DecodeChange reads a change with its section's content. It returns an
// InvalidError that lists every problem of the text.
func DecodeChange(m *coltspb.Change) (coltsdocument.Change, error) {
	name := coltsdocument.SectionName(m.GetSection())
	content, problems := coltscodec.DecodeSection(name, []byte(m.GetText()))
	if len(problems) > 0 {
		return coltsdocument.Change{}, &coltsdocument.InvalidError{Problems: problems}
	}
	return coltsdocument.Change{
		ID:        coltsidentity.Change(m.GetId()),
		Section:   name,
		Base:      coltsdocument.Revision(m.GetBase()),
		Author:    coltsidentity.Operator(m.GetAuthor()),
		Content:   content,
		Text:      m.GetText(),
		Bootstrap: m.GetBootstrap(),
	}, nil
}

// EncodeChangeRecord returns a record's message.
func EncodeChangeRecord(r coltsdocument.Record) *coltspb.ChangeRecord {
	return &coltspb.ChangeRecord{
		Change:     EncodeChange(r.Change),
		State:      string(r.State),
		Plan:       r.Plan,
		Reviewer:   string(r.Reviewer),
		ProposedAt: EncodeTime(r.ProposedAt),
		AcceptedAt: EncodeTime(r.AcceptedAt),
		Revision:   uint64(r.Revision),
		Winner:     string(r.Winner),
	}
}

// DecodeChangeRecord reads a record's message. The text of a record was checked
// when the change was proposed.
func DecodeChangeRecord(m *coltspb.ChangeRecord) (coltsdocument.Record, error) {
	change, err := DecodeChange(m.GetChange())
	if err != nil {
		return coltsdocument.Record{}, err
	}
	return coltsdocument.Record{
		Change:     change,
		State:      coltsdocument.ChangeState(m.GetState()),
		Plan:       m.GetPlan(),
		Reviewer:   coltsidentity.Operator(m.GetReviewer()),
		ProposedAt: DecodeTime(m.GetProposedAt()),
		AcceptedAt: DecodeTime(m.GetAcceptedAt()),
		Revision:   coltsdocument.Revision(m.GetRevision()),
		Winner:     coltsidentity.Change(m.GetWinner()),
	}, nil
}

// EncodeDocument returns the texts of a document's sections, which are those of
// the records that put them in force.
func EncodeDocument(d coltsdocument.Document, find func(coltsdocument.Revision) (coltsdocument.Record, bool)) *coltspb.DocumentText {
	m := &coltspb.DocumentText{Revision: uint64(d.Revision)}
	for _, name := range coltsdocument.SectionNames {
		revision, changed := d.Changed[name]
		if !changed {
			continue
		}
		record, found := find(revision)
		if !found {
			continue
		}
		m.Sections = append(m.Sections, &coltspb.SectionText{
			Section:  string(name),
			Text:     record.Change.Text,
			Revision: uint64(revision),
		})
	}
	return m
}

// DecodeDocument reads a document. It returns an InvalidError if a text can't be
// read, as from an instance of another release.
func DecodeDocument(m *coltspb.DocumentText) (coltsdocument.Document, error) {
	d := coltsdocument.Document{
		Revision: coltsdocument.Revision(m.GetRevision()),
		Changed:  map[coltsdocument.SectionName]coltsdocument.Revision{},
	}
	for _, s := range m.GetSections() {
		name := coltsdocument.SectionName(s.GetSection())
		content, problems := coltscodec.DecodeSection(name, []byte(s.GetText()))
		if len(problems) > 0 {
			return coltsdocument.Document{}, &coltsdocument.InvalidError{Problems: problems}
		}
		d.Sections = coltsdocument.ReplaceSection(d.Sections, content, name)
		d.Changed[name] = coltsdocument.Revision(s.GetRevision())
	}
	return d, nil
}
