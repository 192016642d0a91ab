package coltswire

// A section is sent as the text that the operator wrote, including comments, and
// each process parses it again. Sections therefore need no second encoding.

import (
	"coltsfootstall/coltscodec"
	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeChange returns the protobuf message for a change.
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

// DecodeChange returns the change held in a protobuf message, with the parsed
// content of its section. If the text is invalid, it returns an InvalidError that
// lists every problem.
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

// EncodeChangeRecord returns the protobuf message for a change record.
func EncodeChangeRecord(r coltsdocument.ChangeRecord) *coltspb.ChangeRecord {
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

// DecodeChangeRecord returns the change record held in a protobuf message. Its text
// was already validated when the change was proposed.
func DecodeChangeRecord(m *coltspb.ChangeRecord) (coltsdocument.ChangeRecord, error) {
	change, err := DecodeChange(m.GetChange())
	if err != nil {
		return coltsdocument.ChangeRecord{}, err
	}
	return coltsdocument.ChangeRecord{
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

// EncodeDocument returns the protobuf message for a document, which holds the text
// of each section. The text comes from the record of the change that last set the
// section; find returns the record accepted as a revision. Sections that were
// never set or whose record is not found are omitted.
func EncodeDocument(d coltsdocument.Document, find func(coltsdocument.Revision) (coltsdocument.ChangeRecord, bool)) *coltspb.DocumentText {
	m := &coltspb.DocumentText{Revision: uint64(d.Revision)}
	for _, name := range coltsdocument.SectionNames {
		revision, changed := d.SectionRevisions[name]
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

// DecodeDocument returns the document held in a protobuf message. It returns an
// InvalidError if a section's text can't be parsed, for example because it comes
// from an instance of another release.
func DecodeDocument(m *coltspb.DocumentText) (coltsdocument.Document, error) {
	d := coltsdocument.Document{
		Revision:         coltsdocument.Revision(m.GetRevision()),
		SectionRevisions: map[coltsdocument.SectionName]coltsdocument.Revision{},
	}
	for _, s := range m.GetSections() {
		name := coltsdocument.SectionName(s.GetSection())
		content, problems := coltscodec.DecodeSection(name, []byte(s.GetText()))
		if len(problems) > 0 {
			return coltsdocument.Document{}, &coltsdocument.InvalidError{Problems: problems}
		}
		d.Sections = coltsdocument.ReplaceSection(d.Sections, content, name)
		d.SectionRevisions[name] = coltsdocument.Revision(s.GetRevision())
	}
	return d, nil
}
