package coltswire

// The replicated log stores commands as protobuf messages, so every later release
// must be able to read them: fields may be added but never renumbered.

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsstate"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeCommand returns the protobuf message for a command.
func EncodeCommand(c coltsstate.Command) *coltspb.Command {
	m := &coltspb.Command{At: EncodeTime(c.At)}
	switch c.Kind {
	case coltsstate.CommandPropose:
		m.Body = &coltspb.Command_Propose{Propose: EncodeChange(c.Propose)}
	case coltsstate.CommandReview:
		m.Body = &coltspb.Command_Review{Review: encodeApproval(c.Review)}
	case coltsstate.CommandAccept:
		m.Body = &coltspb.Command_Accept{Accept: encodeApproval(c.Accept)}
	case coltsstate.CommandGrant:
		m.Body = &coltspb.Command_Grant{Grant: EncodeGrantRequest(c.Grant)}
	case coltsstate.CommandSettle:
		m.Body = &coltspb.Command_Settle{Settle: EncodeSettlement(c.Settle)}
	case coltsstate.CommandWithdraw:
		m.Body = &coltspb.Command_Withdraw{Withdraw: EncodeGrantRequest(c.Withdraw)}
	case coltsstate.CommandUsage:
		m.Body = &coltspb.Command_Usage{Usage: EncodeUsageBatch(c.Usage)}
	case coltsstate.CommandRoutes:
		m.Body = &coltspb.Command_Routes{Routes: EncodeRouteTable(c.Routes)}
	case coltsstate.CommandWeights:
		m.Body = &coltspb.Command_Weights{Weights: EncodeNamedVersion(c.Weights)}
	case coltsstate.CommandEvacuation:
		m.Body = &coltspb.Command_Evacuation{Evacuation: encodeEvacuationOrder(c.Evacuation)}
	case coltsstate.CommandDeparture:
		m.Body = &coltspb.Command_Departure{Departure: encodeDeparture(c.Departure)}
	}
	return m
}

// DecodeCommand returns the command held in a protobuf message. It returns an
// InvalidError if the command proposes a change whose text is invalid.
func DecodeCommand(m *coltspb.Command) (coltsstate.Command, error) {
	c := coltsstate.Command{At: DecodeTime(m.GetAt())}
	var err error
	switch body := m.GetBody().(type) {
	case *coltspb.Command_Propose:
		c.Kind = coltsstate.CommandPropose
		c.Propose, err = DecodeChange(body.Propose)
	case *coltspb.Command_Review:
		c.Kind = coltsstate.CommandReview
		c.Review = decodeApproval(body.Review)
	case *coltspb.Command_Accept:
		c.Kind = coltsstate.CommandAccept
		c.Accept = decodeApproval(body.Accept)
	case *coltspb.Command_Grant:
		c.Kind = coltsstate.CommandGrant
		c.Grant = DecodeGrantRequest(body.Grant)
	case *coltspb.Command_Settle:
		c.Kind = coltsstate.CommandSettle
		c.Settle = DecodeSettlement(body.Settle)
	case *coltspb.Command_Withdraw:
		c.Kind = coltsstate.CommandWithdraw
		c.Withdraw = DecodeGrantRequest(body.Withdraw)
	case *coltspb.Command_Usage:
		c.Kind = coltsstate.CommandUsage
		c.Usage = DecodeUsageBatch(body.Usage)
	case *coltspb.Command_Routes:
		c.Kind = coltsstate.CommandRoutes
		c.Routes = DecodeRouteTable(body.Routes)
	case *coltspb.Command_Weights:
		c.Kind = coltsstate.CommandWeights
		c.Weights = DecodeNamedVersion(body.Weights)
	case *coltspb.Command_Evacuation:
		c.Kind = coltsstate.CommandEvacuation
		c.Evacuation = decodeEvacuationOrder(body.Evacuation)
	case *coltspb.Command_Departure:
		c.Kind = coltsstate.CommandDeparture
		c.Departure = decodeDeparture(body.Departure)
	default:
		return c, errors.Errorf("command of unknown kind %T", body)
	}
	return c, err
}

// MarshalCommand serializes a command for the log.
func MarshalCommand(c coltsstate.Command) ([]byte, error) {
	b, err := proto.Marshal(EncodeCommand(c))
	return b, errors.Wrap(err, "marshal command")
}

// UnmarshalCommand parses a command read from the log.
func UnmarshalCommand(b []byte) (coltsstate.Command, error) {
	var m coltspb.Command
	if err := proto.Unmarshal(b, &m); err != nil {
		return coltsstate.Command{}, errors.Wrap(err, "unmarshal command")
	}
	return DecodeCommand(&m)
}

func encodeApproval(s coltsstate.ChangeApproval) *coltspb.Step {
	return &coltspb.Step{Change: string(s.Change), Operator: string(s.Operator)}
}

func decodeApproval(m *coltspb.Step) coltsstate.ChangeApproval {
	return coltsstate.ChangeApproval{
		Change:   coltsidentity.Change(m.GetChange()),
		Operator: coltsidentity.Operator(m.GetOperator()),
	}
}
