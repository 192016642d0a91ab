package coltscontrol

// This file implements the Connect service of a control instance: each call is decoded, passed to an
// aggregate or to the replicated log, and its result is encoded.

import (
	"context"
	"crypto/sha256"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"coltsfootstall/coltsdocument"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsreplica"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire"
	"coltsfootstall/coltswire/coltspb"
	"coltsfootstall/coltswire/coltspb/coltspbconnect"
)

const (
	// submitTimeout bounds the wait for a command to be committed and applied.
	submitTimeout = 10 * time.Second
	// recheckPeriod is how often a waiting call checks again for instances whose heartbeats
	// have stopped, because no signal is fired for that.
	recheckPeriod = 500 * time.Millisecond
	// maxHistory is the greatest number of changes in one listing.
	maxHistory = 1000
)

// controlServer implements coltspbconnect.ControlHandler.
type controlServer struct {
	coltspbconnect.UnimplementedControlHandler
	c *Control
}

// Submit replicates a command and returns its result once it has been committed and applied.
func (s *controlServer) Submit(ctx context.Context, r *coltspb.SubmitRequest) (*coltspb.SubmitReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.Submit(ctx, r)
	}
	command, err := coltswire.DecodeCommand(r.GetCommand())
	var invalid *coltsdocument.InvalidError
	if errors.As(err, &invalid) {
		return &coltspb.SubmitReply{Refusal: coltswire.EncodeRefusal(err)}, nil
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.authorise(&command, r.GetOperatorKey()); err != nil {
		return &coltspb.SubmitReply{Refusal: coltswire.EncodeRefusal(err)}, nil
	}
	if err := s.c.checkFormed(); err != nil {
		return nil, unavailable(err)
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	result, err := s.c.driver.submit(ctx, command)
	if err != nil {
		return nil, unavailable(err)
	}
	return encodeResult(command.Kind, result), nil
}

// authorise sets the operator of an operator's command from the operator's key. Other commands need
// no key.
func (s *controlServer) authorise(command *coltsstate.Command, key string) error {
	switch command.Kind {
	case coltsstate.CommandPropose:
		// Only the instance's own bootstrap may skip the review.
		command.Propose.Bootstrap = false
		return s.setOperator(&command.Propose.Author, command.Propose.ID, key)
	case coltsstate.CommandReview:
		return s.setOperator(&command.Review.Operator, command.Review.Change, key)
	case coltsstate.CommandAccept:
		return s.setOperator(&command.Accept.Operator, command.Accept.Change, key)
	}
	return nil
}

func (s *controlServer) setOperator(to *coltsidentity.Operator, change coltsidentity.Change, key string) error {
	operator, known := s.c.machine.Register.Current().FindOperator(sha256.Sum256([]byte(key)))
	if !known {
		return &coltsdocument.DeniedError{Change: change, Operator: "unknown operator", Reason: "has no valid key"}
	}
	*to = operator.ID
	return nil
}

func encodeResult(kind coltsstate.CommandKind, r coltsstate.Result) *coltspb.SubmitReply {
	reply := &coltspb.SubmitReply{Refusal: coltswire.EncodeRefusal(r.Err)}
	if r.Err != nil {
		return reply
	}
	switch kind {
	case coltsstate.CommandPropose, coltsstate.CommandReview, coltsstate.CommandAccept:
		reply.Change = coltswire.EncodeChangeRecord(r.Change)
	case coltsstate.CommandGrant:
		reply.Granted = r.Decision.Granted
		reply.Booking = coltswire.EncodeBooking(r.Decision.Record)
	case coltsstate.CommandSettle, coltsstate.CommandWithdraw:
		reply.Booking = coltswire.EncodeBooking(r.Booking)
	}
	return reply
}

// Plan returns what a change would do, without submitting it.
func (s *controlServer) Plan(_ context.Context, r *coltspb.PlanRequest) (*coltspb.PlanReply, error) {
	change, err := coltswire.DecodeChange(r.GetChange())
	if err != nil {
		return &coltspb.PlanReply{Refusal: coltswire.EncodeRefusal(err)}, nil
	}
	if err := s.setOperator(&change.Author, change.ID, r.GetOperatorKey()); err != nil {
		return &coltspb.PlanReply{Refusal: coltswire.EncodeRefusal(err)}, nil
	}
	plan, err := s.c.machine.Register.Check(change)
	return &coltspb.PlanReply{Plan: plan, Refusal: coltswire.EncodeRefusal(err)}, nil
}

// Follow returns the document as soon as one newer than the caller's is in force, or at the deadline.
// An instance whose state may be stale returns an error, so that the caller tries another one. It
// answers nevertheless if the caller accepts a document of any age.
func (s *controlServer) Follow(ctx context.Context, r *coltspb.FollowRequest) (*coltspb.FollowReply, error) {
	if r.GetFresh() {
		return s.followFresh(ctx, r)
	}
	timer := time.NewTimer(coltswire.DecodeTime(r.GetAnswerBy()).Sub(s.c.cfg.Now()))
	defer timer.Stop()
	recheck := time.NewTicker(recheckPeriod)
	defer recheck.Stop()
	for {
		documentChanged := s.c.documentChanged.Channel()
		if !s.c.stateFresh() && !r.GetAnyAge() {
			return nil, unavailable(errStaleState)
		}
		document := s.c.machine.Register.Current()
		if document.Revision > coltsdocument.Revision(r.GetAfter()) || s.c.stopping() {
			return s.followReply(document), nil
		}
		select {
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		case <-timer.C:
			return s.followReply(document), nil
		case <-recheck.C:
		case <-documentChanged:
		}
	}
}

// followFresh returns the document that a quorum confirms to be the newest.
func (s *controlServer) followFresh(ctx context.Context, r *coltspb.FollowRequest) (*coltspb.FollowReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.Follow(ctx, r)
	}
	if err := s.c.driver.barrier(ctx); err != nil {
		return nil, unavailable(err)
	}
	return s.followReply(s.c.machine.Register.Current()), nil
}

func (s *controlServer) followReply(d coltsdocument.Document) *coltspb.FollowReply {
	return &coltspb.FollowReply{Document: coltswire.EncodeDocument(d, s.c.machine.Register.FindByRevision)}
}

// History lists the newest changes.
func (s *controlServer) History(_ context.Context, r *coltspb.HistoryRequest) (*coltspb.HistoryReply, error) {
	limit := int(r.GetLimit())
	if limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	reply := &coltspb.HistoryReply{}
	for _, record := range s.c.machine.Register.History(limit) {
		reply.Changes = append(reply.Changes, coltswire.EncodeChangeRecord(record))
	}
	return reply, nil
}

// Heartbeat renews an instance's entry in the roster, or removes it if the instance is leaving.
func (s *controlServer) Heartbeat(ctx context.Context, r *coltspb.HeartbeatRequest) (*coltspb.HeartbeatReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err == nil && leader != nil {
		r.Forwarded = true
		return leader.Heartbeat(ctx, r)
	}
	// Without a leader each control instance maintains its own roster, so that entries can
	// still find each other.
	member := coltswire.DecodeMember(r.GetMember())
	now := s.c.cfg.Now()
	if r.GetLeaving() {
		s.c.roster.Leave(member.ID, member.Started)
	} else {
		s.c.roster.Heartbeat(member, now)
	}
	s.c.rosterChanged.Broadcast()
	return &coltspb.HeartbeatReply{
		Peers:    coltswire.EncodeMembers(s.c.roster.Live(now)),
		Revision: uint64(s.c.Revision()),
	}, nil
}

// Status returns the leader's view of the group and its live instances. If no leader is known, the
// instance returns its own view.
func (s *controlServer) Status(ctx context.Context, r *coltspb.StatusRequest) (*coltspb.StatusReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err == nil && leader != nil {
		r.Forwarded = true
		return leader.Status(ctx, r)
	}
	v := s.c.driver.view.Load()
	return &coltspb.StatusReply{
		Members:       coltswire.EncodeMembers(s.c.roster.Live(s.c.cfg.Now())),
		Revision:      uint64(s.c.Revision()),
		Bookings:      int64(s.c.machine.Ledger.Len()),
		LogIndex:      v.appliedIndex,
		Leader:        string(v.leader),
		Term:          v.term,
		Configuration: coltswire.EncodeConfiguration(v.configuration),

		ConfigurationIndex: v.configurationIndex,
	}, nil
}

// ChangeReplicas adds, promotes or removes a control instance.
func (s *controlServer) ChangeReplicas(
	ctx context.Context, r *coltspb.ChangeReplicasRequest,
) (*coltspb.ChangeReplicasReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.ChangeReplicas(ctx, r)
	}
	var operator coltsidentity.Operator
	if err := s.setOperator(&operator, "", r.GetOperatorKey()); err != nil {
		return &coltspb.ChangeReplicasReply{Refusal: coltswire.EncodeRefusal(err)}, nil
	}
	step, known := membershipSteps[r.GetStep()]
	if !known {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("unknown step %q", r.GetStep()))
	}
	err = s.c.changeMembership(ctx, step, coltsidentity.Instance(r.GetMember()), r.After)
	return &coltspb.ChangeReplicasReply{
		Configuration: coltswire.EncodeConfiguration(s.c.driver.view.Load().configuration),
		Refusal:       coltswire.EncodeRefusal(err),
	}, nil
}

// changeMembership carries out a step of an operator who has seen the group as of the configuration index
// after, nil if that is not known. It returns a coltsreplica.MembershipChangeError if the group has changed
// since: the step may be a copy that waited while the operator took others.
func (c *Control) changeMembership(ctx context.Context, step membershipStep, member coltsidentity.Instance, after *uint64) error {
	return c.driver.changeGroup(ctx, func(replica *coltsreplica.Replica) error {
		if after != nil && *after != replica.ConfigurationIndex() {
			return &coltsreplica.MembershipChangeError{Member: member, Reason: "the group has changed since it was looked at"}
		}
		return step(replica, member)
	})
}

// membershipStep proposes a membership change.
type membershipStep func(*coltsreplica.Replica, coltsidentity.Instance) error

// membershipSteps maps the name of each membership change to the method that proposes it.
var membershipSteps = map[string]membershipStep{
	"add":     (*coltsreplica.Replica).AddLearner,
	"promote": (*coltsreplica.Replica).Promote,
	"remove":  (*coltsreplica.Replica).Remove,
}

// Wait returns when every live instance has reached a revision, or at the deadline.
func (s *controlServer) Wait(ctx context.Context, r *coltspb.WaitRequest) (*coltspb.WaitReply, error) {
	leader, err := s.c.leaderClient(r.GetForwarded())
	if err != nil {
		return nil, err
	}
	if leader != nil {
		r.Forwarded = true
		return leader.Wait(ctx, r)
	}
	revision := coltsdocument.Revision(r.GetRevision())
	answerBy := coltswire.DecodeTime(r.GetAnswerBy())
	recheck := time.NewTicker(recheckPeriod)
	defer recheck.Stop()
	for {
		rosterChanged := s.c.rosterChanged.Channel()
		now := s.c.cfg.Now()
		behind := s.c.roster.Behind(revision, now)
		inForce := s.c.Revision() >= revision
		if len(behind) == 0 && inForce || !now.Before(answerBy) || s.c.stopping() {
			return &coltspb.WaitReply{Behind: coltswire.EncodeMembers(behind), InForce: inForce}, nil
		}
		select {
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		case <-rosterChanged:
		case <-recheck.C:
		}
	}
}

// Spend returns the usage of all organisations.
func (s *controlServer) Spend(context.Context, *coltspb.SpendRequest) (*coltspb.SpendReply, error) {
	reply := &coltspb.SpendReply{}
	for _, line := range s.c.machine.Account.Spend() {
		reply.Lines = append(reply.Lines, coltswire.EncodeUsageLine(line))
	}
	return reply, nil
}
