package coltsdocument

// Register is the root of the aggregate: only its methods move a change from
// proposed to reviewed to accepted. Each step is idempotent per change ID, so an
// operator who did not receive a reply can safely retry.

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
)

// ChangeState is the state of a change in the review process.
type ChangeState string

// The states of a change, in order. A change becomes stale, instead of accepted,
// if another change replaced its section first.
const (
	ChangeProposed ChangeState = "proposed"
	ChangeReviewed ChangeState = "reviewed"
	ChangeAccepted ChangeState = "accepted"
	ChangeStale    ChangeState = "stale"
)

// Change is a proposal to replace one section of the document.
type Change struct {
	ID      coltsidentity.Change
	Section SectionName
	// Base is the document revision that the author edited.
	Base   Revision
	Author coltsidentity.Operator
	// Content holds the new content of Section; the other sections are ignored.
	Content Sections
	// Text is the section as the operator wrote it, kept for the history.
	Text string
	// Bootstrap marks the change that adds the first operators. It skips the
	// review, because a document without operators has no one who could review it.
	Bootstrap bool
}

// ChangeRecord is a change together with its state.
type ChangeRecord struct {
	Change Change
	State  ChangeState
	// Plan describes the differences to the document at the time of the proposal.
	Plan []string
	// Reviewer is empty until the change is reviewed, and for bootstrap changes.
	Reviewer   coltsidentity.Operator
	ProposedAt time.Time
	// AcceptedAt is zero until the change is accepted.
	AcceptedAt time.Time
	// Revision is the document revision created by accepting the change; zero
	// until then.
	Revision Revision
	// Winner is the change that replaced the section before this one could be
	// accepted; empty unless this change is stale.
	Winner coltsidentity.Change
}

// StaleError reports that the section of a change was replaced after the
// revision on which the change is based.
type StaleError struct {
	Change  coltsidentity.Change
	Section SectionName
	Base    Revision
	// Winner is the change that last replaced the section.
	Winner coltsidentity.Change
	// Revision is the revision that Winner created.
	Revision Revision
}

// Error names the stale change and the change that replaced the section.
func (e *StaleError) Error() string {
	return fmt.Sprintf("change %s is based on revision %d, but change %s replaced section %s in revision %d",
		e.Change, e.Base, e.Winner, e.Section, e.Revision)
}

// DeniedError reports that an operator may not perform a step of a change.
type DeniedError struct {
	Change   coltsidentity.Change
	Operator coltsidentity.Operator
	// Reason completes a sentence that starts with the operator's name.
	Reason string
}

// Error names the change, the operator and the reason.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("change %s: %s %s", e.Change, e.Operator, e.Reason)
}

// UnknownChangeError reports that the register contains no change with this ID.
type UnknownChangeError struct {
	Change coltsidentity.Change
}

// Error names the change.
func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("there is no change %s", e.Change)
}

// ReusedChangeError reports that a change ID was already used for a different
// change.
type ReusedChangeError struct {
	Change coltsidentity.Change
}

// Error names the change.
func (e *ReusedChangeError) Error() string {
	return fmt.Sprintf("change %s was already proposed with other content", e.Change)
}

// Register holds the current document and every change. It has a single lock
// instead of shards, because the document is always replaced as a whole and only
// changes a few thousand times a day.
type Register struct {
	mu       sync.RWMutex
	document Document
	records  map[coltsidentity.Change]*ChangeRecord
	// changeIDs lists the IDs of all changes in the order of their proposal.
	changeIDs []coltsidentity.Change
	// changeByRevision maps each revision to the change that created it.
	changeByRevision map[Revision]coltsidentity.Change
}

// NewRegister returns a register with an empty document.
func NewRegister() *Register {
	return &Register{
		document:         Document{SectionRevisions: map[SectionName]Revision{}},
		records:          map[coltsidentity.Change]*ChangeRecord{},
		changeByRevision: map[Revision]coltsidentity.Change{},
	}
}

// Current returns the current document. The caller must not modify it.
func (r *Register) Current() Document {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.document
}

// Find returns the record of a change and reports whether it exists.
func (r *Register) Find(id coltsidentity.Change) (ChangeRecord, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rec, ok := r.records[id]
	if !ok {
		return ChangeRecord{}, false
	}
	return *rec, true
}

// History returns the records of the most recently proposed changes, at most
// limit of them, oldest first.
func (r *Register) History(limit int) []ChangeRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	first := max(0, len(r.changeIDs)-limit)
	records := make([]ChangeRecord, 0, len(r.changeIDs)-first)
	for _, id := range r.changeIDs[first:] {
		records = append(records, *r.records[id])
	}
	return records
}

// Check returns the plan of a change, or the error with which Propose would
// reject it if its ID were new. It does not modify the register.
func (r *Register) Check(c Change) ([]string, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.checkLocked(c)
}

// Propose adds a change to the register. If the same change was proposed before,
// Propose returns its current record.
func (r *Register) Propose(c Change, now time.Time) (ChangeRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, known := r.records[c.ID]; known {
		return retriedProposal(rec, c)
	}
	plan, err := r.checkLocked(c)
	if err != nil {
		return ChangeRecord{}, err
	}
	rec := &ChangeRecord{Change: c, State: ChangeProposed, Plan: plan, ProposedAt: now}
	if c.Bootstrap {
		rec.State = ChangeReviewed
	}
	r.records[c.ID] = rec
	r.changeIDs = append(r.changeIDs, c.ID)
	return *rec, nil
}

// retriedProposal returns the record of a change that was already proposed, or a
// ReusedChangeError if c differs from it.
func retriedProposal(rec *ChangeRecord, c Change) (ChangeRecord, error) {
	same := rec.Change.Section == c.Section &&
		rec.Change.Base == c.Base &&
		rec.Change.Author == c.Author &&
		rec.Change.Text == c.Text
	if !same {
		return ChangeRecord{}, &ReusedChangeError{Change: c.ID}
	}
	return *rec, nil
}

// Review records the approval of an operator other than the author. A retry by
// the same operator returns the current record.
func (r *Register) Review(id coltsidentity.Change, by coltsidentity.Operator) (ChangeRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok {
		return ChangeRecord{}, &UnknownChangeError{Change: id}
	}
	if rec.Reviewer == by && rec.State != ChangeStale {
		return *rec, nil
	}
	if err := r.checkReviewerLocked(rec, by); err != nil {
		return ChangeRecord{}, err
	}
	if rec.State != ChangeProposed {
		return *rec, nil
	}
	rec.State = ChangeReviewed
	rec.Reviewer = by
	return *rec, nil
}

// checkReviewerLocked returns an error if the change is stale or if the operator
// may not review it.
func (r *Register) checkReviewerLocked(rec *ChangeRecord, by coltsidentity.Operator) error {
	if rec.State == ChangeStale {
		return r.checkStaleLocked(rec.Change)
	}
	if rec.Change.Author == by {
		return &DeniedError{Change: rec.Change.ID, Operator: by, Reason: "is its author and can't review it"}
	}
	if !r.ownsLocked(by, rec.Change.Section) {
		reason := fmt.Sprintf("does not own section %s", rec.Change.Section)
		return &DeniedError{Change: rec.Change.ID, Operator: by, Reason: reason}
	}
	return nil
}

// Accept applies a reviewed change to the document. Of two changes to the same
// section with the same base, the first to be accepted wins; accepting the other
// one fails with a StaleError that names the winner. A retry for an accepted
// change returns its record.
func (r *Register) Accept(id coltsidentity.Change, by coltsidentity.Operator, now time.Time) (ChangeRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[id]
	if !ok {
		return ChangeRecord{}, &UnknownChangeError{Change: id}
	}
	if rec.State == ChangeAccepted {
		return *rec, nil
	}
	if !rec.Change.Bootstrap && by != rec.Change.Author && !r.ownsLocked(by, rec.Change.Section) {
		reason := fmt.Sprintf("neither proposed it nor owns section %s", rec.Change.Section)
		return ChangeRecord{}, &DeniedError{Change: id, Operator: by, Reason: reason}
	}
	if err := r.checkStaleLocked(rec.Change); err != nil {
		return ChangeRecord{}, r.markStaleLocked(rec, err)
	}
	if rec.State != ChangeReviewed {
		return ChangeRecord{}, &DeniedError{Change: id, Operator: by, Reason: "can't accept it before it is reviewed"}
	}
	sections := ReplaceSection(r.document.Sections, rec.Change.Content, rec.Change.Section)
	if problems := Validate(sections); len(problems) > 0 {
		return ChangeRecord{}, &InvalidError{Problems: problems}
	}
	r.applyLocked(rec, sections, now)
	return *rec, nil
}

// applyLocked makes sections the current document, as the next revision, and
// marks the change as accepted.
func (r *Register) applyLocked(rec *ChangeRecord, sections Sections, now time.Time) {
	sectionRevisions := make(map[SectionName]Revision, len(r.document.SectionRevisions)+1)
	for name, revision := range r.document.SectionRevisions {
		sectionRevisions[name] = revision
	}
	revision := r.document.Revision + 1
	sectionRevisions[rec.Change.Section] = revision
	r.document = Document{Revision: revision, Sections: sections, SectionRevisions: sectionRevisions}
	rec.State = ChangeAccepted
	rec.Revision = revision
	rec.AcceptedAt = now
	r.changeByRevision[revision] = rec.Change.ID
}

// markStaleLocked marks a change as stale and returns err, which is the
// StaleError that names the winner.
func (r *Register) markStaleLocked(rec *ChangeRecord, err error) error {
	rec.State = ChangeStale
	var stale *StaleError
	if errors.As(err, &stale) {
		rec.Winner = stale.Winner
	}
	return err
}

// checkStaleLocked returns a StaleError if the section was replaced after the
// revision on which the change is based.
func (r *Register) checkStaleLocked(c Change) error {
	replaced := r.document.SectionRevisions[c.Section]
	if replaced <= c.Base {
		return nil
	}
	return &StaleError{
		Change:   c.ID,
		Section:  c.Section,
		Base:     c.Base,
		Winner:   r.changeAtLocked(replaced),
		Revision: replaced,
	}
}

// FindByRevision returns the record of the change that created a revision.
func (r *Register) FindByRevision(revision Revision) (ChangeRecord, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rec, found := r.records[r.changeAtLocked(revision)]
	if !found {
		return ChangeRecord{}, false
	}
	return *rec, true
}

// changeAtLocked returns the change that created a revision, or an empty ID if
// there is none.
func (r *Register) changeAtLocked(revision Revision) coltsidentity.Change {
	return r.changeByRevision[revision]
}

// ownsLocked reports whether an operator of the current document owns a section.
func (r *Register) ownsLocked(by coltsidentity.Operator, name SectionName) bool {
	for _, o := range r.document.Sections.Operators {
		if o.ID == by {
			return o.Owns(name)
		}
	}
	return false
}

// checkLocked validates a proposal and returns its plan.
func (r *Register) checkLocked(c Change) ([]string, error) {
	if _, ok := FindSection(c.Section); !ok {
		problem := Problem{Section: c.Section, Path: string(c.Section), Reason: "there is no such section"}
		return nil, &InvalidError{Problems: []Problem{problem}}
	}
	if c.ID == "" {
		return nil, &InvalidError{Problems: []Problem{{Section: c.Section, Path: "change", Reason: "has no identity"}}}
	}
	if c.Base > r.document.Revision {
		reason := fmt.Sprintf("is %d, newer than the revision in force %d", c.Base, r.document.Revision)
		return nil, &InvalidError{Problems: []Problem{{Section: c.Section, Path: "base", Reason: reason}}}
	}
	if c.Bootstrap && len(r.document.Sections.Operators) > 0 {
		return nil, &DeniedError{Change: c.ID, Operator: c.Author, Reason: "can't skip the review of a document that has operators"}
	}
	if err := r.checkStaleLocked(c); err != nil {
		return nil, err
	}
	sections := ReplaceSection(r.document.Sections, c.Content, c.Section)
	if problems := Validate(sections); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return Plan(r.document.Sections, sections, c.Section), nil
}

// Export returns the current document and every record, oldest first, for a
// snapshot.
func (r *Register) Export() (Document, []ChangeRecord) {
	return r.Current(), r.History(int(^uint(0) >> 1))
}

// Import replaces the state of the register with that of a snapshot.
func (r *Register) Import(d Document, records []ChangeRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.SectionRevisions == nil {
		d.SectionRevisions = map[SectionName]Revision{}
	}
	r.document = d
	r.records = make(map[coltsidentity.Change]*ChangeRecord, len(records))
	r.changeIDs = nil
	r.changeByRevision = make(map[Revision]coltsidentity.Change)
	for _, rec := range records {
		r.records[rec.Change.ID] = &rec
		if rec.State == ChangeAccepted {
			r.changeByRevision[rec.Revision] = rec.Change.ID
		}
		r.changeIDs = append(r.changeIDs, rec.Change.ID)
	}
}
