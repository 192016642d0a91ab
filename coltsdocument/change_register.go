package coltsdocument

// The register is the root of the aggregate: it alone moves a change from
// proposed to reviewed to in force. Each step is idempotent by the change's
// identity, so that an operator who lost an answer can send again.

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"coltsfootstall/coltsidentity"
)

// ChangeState says how far a change has come.
type ChangeState string

// The states of a change, in order; stale is the end of one that lost.
const (
	ChangeProposed ChangeState = "proposed"
	ChangeReviewed ChangeState = "reviewed"
	ChangeAccepted ChangeState = "accepted"
	ChangeStale    ChangeState = "stale"
)

// Change is one proposed replacement of a section.
type Change struct {
	ID      coltsidentity.Change
	Section SectionName
	// Base is the revision that the author had read.
	Base   Revision
	Author coltsidentity.Operator
	// Content holds the new section; its other sections are ignored.
	Content Sections
	// Text is the operator's own text of the section, kept for the history.
	Text string
	// Bootstrap marks the change as the first operators' section of an empty
	// document, which nobody could review.
	Bootstrap bool
}

// ChangeRecord is what the register knows of a change.
type ChangeRecord struct {
	Change     Change
	State      ChangeState
	Plan       []string
	Reviewer   coltsidentity.Operator
	ProposedAt time.Time
	AcceptedAt time.Time
	// Revision is the one that the change made, if it is accepted.
	Revision Revision
	// Winner is the change that took its place, if it is stale.
	Winner coltsidentity.Change
}

// StaleError reports a change whose section was replaced after its base.
type StaleError struct {
	Change  coltsidentity.Change
	Section SectionName
	Base    Revision
	// Winner is the change that came first, and Revision the one it made.
	Winner   coltsidentity.Change
	Revision Revision
}

// Error says which change won.
func (e *StaleError) Error() string {
	return fmt.Sprintf("change %s is based on revision %d, but change %s replaced section %s in revision %d",
		e.Change, e.Base, e.Winner, e.Section, e.Revision)
}

// DeniedError reports a step that the operator may not take.
type DeniedError struct {
	Change   coltsidentity.Change
	Operator coltsidentity.Operator
	Reason   string
}

// Error says who may not do what.
func (e *DeniedError) Error() string {
	return fmt.Sprintf("change %s: %s %s", e.Change, e.Operator, e.Reason)
}

// UnknownChangeError reports a change that the register does not hold.
type UnknownChangeError struct {
	Change coltsidentity.Change
}

// Error names the change.
func (e *UnknownChangeError) Error() string {
	return fmt.Sprintf("there is no change %s", e.Change)
}

// ReusedChangeError reports an identity that was used for another change.
type ReusedChangeError struct {
	Change coltsidentity.Change
}

// Error names the change.
func (e *ReusedChangeError) Error() string {
	return fmt.Sprintf("change %s was already proposed with other content", e.Change)
}

// Register holds the document in force and every change. It is one shard: the
// document is replaced whole and changes a few thousand times a day.
type Register struct {
	mu       sync.RWMutex
	document Document
	records  map[coltsidentity.Change]*ChangeRecord
	order    []coltsidentity.Change
	// accepted holds the change that made each revision.
	accepted map[Revision]coltsidentity.Change
}

// NewRegister returns a register with an empty document.
func NewRegister() *Register {
	return &Register{
		document: Document{SectionRevisions: map[SectionName]Revision{}},
		records:  map[coltsidentity.Change]*ChangeRecord{},
		accepted: map[Revision]coltsidentity.Change{},
	}
}

// Current returns the document in force. The caller must not change it.
func (r *Register) Current() Document {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.document
}

// Find returns what is known of a change.
func (r *Register) Find(id coltsidentity.Change) (ChangeRecord, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rec, ok := r.records[id]
	if !ok {
		return ChangeRecord{}, false
	}
	return *rec, true
}

// History returns the changes in the order in which they were proposed, the
// newest limit of them.
func (r *Register) History(limit int) []ChangeRecord {
	r.mu.RLock()
	defer r.mu.RUnlock()
	from := max(0, len(r.order)-limit)
	records := make([]ChangeRecord, 0, len(r.order)-from)
	for _, id := range r.order[from:] {
		records = append(records, *r.records[id])
	}
	return records
}

// Check returns the plan of a change, or the error with which Propose would
// refuse it. It changes nothing.
func (r *Register) Check(c Change) ([]string, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.checkLocked(c)
}

// Propose takes in a change. A resend gets the record that the first one got.
func (r *Register) Propose(c Change, now time.Time) (ChangeRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, known := r.records[c.ID]; known {
		return resendOf(rec, c)
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
	r.order = append(r.order, c.ID)
	return *rec, nil
}

// resendOf answers a change that is already known.
func resendOf(rec *ChangeRecord, c Change) (ChangeRecord, error) {
	same := rec.Change.Section == c.Section &&
		rec.Change.Base == c.Base &&
		rec.Change.Author == c.Author &&
		rec.Change.Text == c.Text
	if !same {
		return ChangeRecord{}, &ReusedChangeError{Change: c.ID}
	}
	return *rec, nil
}

// Review records that a second person agrees. A resend by the same person is
// answered as before.
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
	if err := r.mayReviewLocked(rec, by); err != nil {
		return ChangeRecord{}, err
	}
	if rec.State != ChangeProposed {
		return *rec, nil
	}
	rec.State = ChangeReviewed
	rec.Reviewer = by
	return *rec, nil
}

func (r *Register) mayReviewLocked(rec *ChangeRecord, by coltsidentity.Operator) error {
	if rec.State == ChangeStale {
		return r.staleLocked(rec.Change)
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

// Accept puts a reviewed change in force. Of two changes with the same base the
// first to be accepted wins; the other learns of the winner. A resend of an
// accepted change gets the first answer.
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
	if err := r.staleLocked(rec.Change); err != nil {
		return ChangeRecord{}, r.loseLocked(rec, err)
	}
	if rec.State != ChangeReviewed {
		return ChangeRecord{}, &DeniedError{Change: id, Operator: by, Reason: "can't accept it before it is reviewed"}
	}
	sections := ReplaceSection(r.document.Sections, rec.Change.Content, rec.Change.Section)
	if problems := Validate(sections); len(problems) > 0 {
		return ChangeRecord{}, &InvalidError{Problems: problems}
	}
	r.putInForceLocked(rec, sections, now)
	return *rec, nil
}

func (r *Register) putInForceLocked(rec *ChangeRecord, sections Sections, now time.Time) {
	changed := make(map[SectionName]Revision, len(r.document.SectionRevisions)+1)
	for name, revision := range r.document.SectionRevisions {
		changed[name] = revision
	}
	revision := r.document.Revision + 1
	changed[rec.Change.Section] = revision
	r.document = Document{Revision: revision, Sections: sections, SectionRevisions: changed}
	rec.State = ChangeAccepted
	rec.Revision = revision
	rec.AcceptedAt = now
	r.accepted[revision] = rec.Change.ID
}

func (r *Register) loseLocked(rec *ChangeRecord, err error) error {
	rec.State = ChangeStale
	var stale *StaleError
	if errors.As(err, &stale) {
		rec.Winner = stale.Winner
	}
	return err
}

// staleLocked returns a StaleError if the section was replaced after the base.
func (r *Register) staleLocked(c Change) error {
	replaced := r.document.SectionRevisions[c.Section]
	if replaced <= c.Base {
		return nil
	}
	return &StaleError{
		Change:   c.ID,
		Section:  c.Section,
		Base:     c.Base,
		Winner:   r.acceptedAtLocked(replaced),
		Revision: replaced,
	}
}

// FindByRevision returns the change that made a revision.
func (r *Register) FindByRevision(revision Revision) (ChangeRecord, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	rec, found := r.records[r.acceptedAtLocked(revision)]
	if !found {
		return ChangeRecord{}, false
	}
	return *rec, true
}

func (r *Register) acceptedAtLocked(revision Revision) coltsidentity.Change {
	return r.accepted[revision]
}

func (r *Register) ownsLocked(by coltsidentity.Operator, name SectionName) bool {
	for _, o := range r.document.Sections.Operators {
		if o.ID == by {
			return o.Owns(name)
		}
	}
	return false
}

// checkLocked applies every rule that a proposal must keep.
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
	if err := r.staleLocked(c); err != nil {
		return nil, err
	}
	sections := ReplaceSection(r.document.Sections, c.Content, c.Section)
	if problems := Validate(sections); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return Plan(r.document.Sections, sections, c.Section), nil
}

// Export returns the document in force and every record, oldest first, for a
// snapshot.
func (r *Register) Export() (Document, []ChangeRecord) {
	return r.Current(), r.History(int(^uint(0) >> 1))
}

// Import replaces the register's state by that of a snapshot.
func (r *Register) Import(d Document, records []ChangeRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.SectionRevisions == nil {
		d.SectionRevisions = map[SectionName]Revision{}
	}
	r.document = d
	r.records = make(map[coltsidentity.Change]*ChangeRecord, len(records))
	r.order = nil
	r.accepted = make(map[Revision]coltsidentity.Change)
	for _, rec := range records {
		r.records[rec.Change.ID] = &rec
		if rec.State == ChangeAccepted {
			r.accepted[rec.Revision] = rec.Change.ID
		}
		r.order = append(r.order, rec.Change.ID)
	}
}
