package coltswire

// Use is reported by entries in batches and read back as lines of spend.

import (
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsusage"
	"coltsfootstall/coltswire/coltspb"
)

// EncodeUsageLine returns a line's message.
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

// DecodeUsageLine reads a line's message.
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

// EncodeUsageBatch returns a batch's message.
func EncodeUsageBatch(b coltsusage.Batch) *coltspb.UsageBatch {
	return &coltspb.UsageBatch{
		Instance: string(b.Instance),
		Started:  EncodeTime(b.Started),
		Number:   b.Number,
		Lines:    convert(b.Lines, EncodeUsageLine),
	}
}

// DecodeUsageBatch reads a batch's message.
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
