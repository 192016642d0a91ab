package coltswire

// Entries report usage to the control instances in batches of usage lines. Replies to
// spend queries consist of usage lines as well.

import (
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeUsageLine returns the protobuf message for a usage line.
func EncodeUsageLine(l coltsusage.Line) *coltspb.UsageLine {
	return &coltspb.UsageLine{
		Organisation: string(l.Organisation),
		Item:         l.Item,
		Requests:     l.Amounts.Requests,
		Computed:     l.Amounts.Computed,
		Reused:       l.Amounts.Reused,
		Generated:    l.Amounts.Generated,
		Micros:       l.Amounts.Micros,
	}
}

// DecodeUsageLine returns the usage line held in a protobuf message.
func DecodeUsageLine(m *coltspb.UsageLine) coltsusage.Line {
	return coltsusage.Line{
		Organisation: coltsidentity.Organisation(m.GetOrganisation()),
		Item:         m.GetItem(),
		Amounts: coltsusage.Amounts{
			Requests:  m.GetRequests(),
			Computed:  m.GetComputed(),
			Reused:    m.GetReused(),
			Generated: m.GetGenerated(),
			Micros:    m.GetMicros(),
		},
	}
}

// EncodeUsageBatch returns the protobuf message for a usage batch.
func EncodeUsageBatch(b coltsusage.Batch) *coltspb.UsageBatch {
	return &coltspb.UsageBatch{
		Instance: string(b.Instance),
		Started:  EncodeTime(b.Started),
		Number:   b.Number,
		Lines:    convert(b.Lines, EncodeUsageLine),
	}
}

// DecodeUsageBatch returns the usage batch held in a protobuf message.
func DecodeUsageBatch(m *coltspb.UsageBatch) coltsusage.Batch {
	return coltsusage.Batch{
		Instance: coltsidentity.Instance(m.GetInstance()),
		Started:  DecodeTime(m.GetStarted()),
		Number:   m.GetNumber(),
		Lines:    convert(m.GetLines(), DecodeUsageLine),
	}
}

func encodeUsageSource(s coltsusage.Source) *coltspb.UsageSource {
	return &coltspb.UsageSource{Instance: string(s.Instance), Started: EncodeTime(s.Started), Number: s.Number}
}

func decodeUsageSource(m *coltspb.UsageSource) coltsusage.Source {
	return coltsusage.Source{
		Instance: coltsidentity.Instance(m.GetInstance()),
		Started:  DecodeTime(m.GetStarted()),
		Number:   m.GetNumber(),
	}
}
