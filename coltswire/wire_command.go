package coltswire

// A command's message is what the log holds, so its form must stay readable by
// every later release: fields are added, never renumbered.

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeCommand returns a command's message.
func EncodeCommand(c coltsstate.Command) *coltspb.Command {
	m := &coltspb.Command{At: EncodeTime(c.At)}
	switch c.Kind {
	case coltsstate.CommandPropose:
		m.Body = &coltspb.Command_Propose{Propose: EncodeChange(c.Propose)}
	case coltsstate.CommandReview:
		m.Body = &coltspb.Command_Review{Review: encodeStep(c.Review)}
	case coltsstate.CommandAccept:
		m.Body = &coltspb.Command_Accept{Accept: encodeStep(c.Accept)}
	case coltsstate.CommandGrant:
		m.Body = &coltspb.Command_Grant{Grant: EncodeGrant(c.Grant)}
	case coltsstate.CommandSettle:
		m.Body = &coltspb.Command_Settle{Settle: EncodeSettlement(c.Settle)}
	case coltsstate.CommandWithdraw:
		m.Body = &coltspb.Command_Withdraw{Withdraw: EncodeGrant(c.Withdraw)}
	case coltsstate.CommandUsage:
		m.Body = &coltspb.Command_Usage{Usage: EncodeUsageBatch(c.Usage)}
	case coltsstate.CommandRoutes:
		m.Body = &coltspb.Command_Routes{Routes: EncodeRoutesText(c.Routes)}
	case coltsstate.CommandWeights:
		m.Body = &coltspb.Command_Weights{Weights: EncodeNamedWeights(c.Weights)}
	}
	return m
}

// DecodeCommand reads a command's message. It returns an InvalidError for a
// change whose text has problems.
func DecodeCommand(m *coltspb.Command) (coltsstate.Command, error) {
	c := coltsstate.Command{At: DecodeTime(m.GetAt())}
	var err error
	switch body := m.GetBody().(type) {
	case *coltspb.Command_Propose:
		c.Kind = coltsstate.CommandPropose
		c.Propose, err = DecodeChange(body.Propose)
	case *coltspb.Command_Review:
		c.Kind = coltsstate.CommandReview
		c.Review = decodeStep(body.Review)
	case *coltspb.Command_Accept:
		c.Kind = coltsstate.CommandAccept
		c.Accept = decodeStep(body.Accept)
	case *coltspb.Command_Grant:
		c.Kind = coltsstate.CommandGrant
		c.Grant = DecodeGrant(body.Grant)
	case *coltspb.Command_Settle:
		c.Kind = coltsstate.CommandSettle
		c.Settle = DecodeSettlement(body.Settle)
	case *coltspb.Command_Withdraw:
		c.Kind = coltsstate.CommandWithdraw
		c.Withdraw = DecodeGrant(body.Withdraw)
	case *coltspb.Command_Usage:
		c.Kind = coltsstate.CommandUsage
		c.Usage = DecodeUsageBatch(body.Usage)
	case *coltspb.Command_Routes:
		c.Kind = coltsstate.CommandRoutes
		c.Routes = DecodeRoutesText(body.Routes)
	case *coltspb.Command_Weights:
		c.Kind = coltsstate.CommandWeights
		c.Weights = DecodeNamedWeights(body.Weights)
	default:
		return c, errors.Errorf("command of unknown kind %T", body)
	}
	return c, err
}

// MarshalCommand returns a command's bytes for the log.
func MarshalCommand(c coltsstate.Command) ([]byte, error) {
	b, err := proto.Marshal(EncodeCommand(c))
	return b, errors.Wrap(err, "marshal command")
}

// UnmarshalCommand reads a command from the log.
func UnmarshalCommand(b []byte) (coltsstate.Command, error) {
	var m coltspb.Command
	if err := proto.Unmarshal(b, &m); err != nil {
		return coltsstate.Command{}, errors.Wrap(err, "unmarshal command")
	}
	return DecodeCommand(&m)
}

func encodeStep(s coltsstate.ChangeApproval) *coltspb.Step {
	return &coltspb.Step{Change: string(s.Change), Operator: string(s.Operator)}
}

func decodeStep(m *coltspb.Step) coltsstate.ChangeApproval {
	return coltsstate.ChangeApproval{
		Change:   coltsidentity.Change(m.GetChange()),
		Operator: coltsidentity.Operator(m.GetOperator()),
	}
}
