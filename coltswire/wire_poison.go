package coltswire

// This file has the messages about parts of prompts that crash upstreams. Times are sent as ages and
// as the time left, because the clocks of two instances may differ.

import (
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltspoison"
	"coltsfootstall/coltswire/coltspb"
)

func encodePart(p coltspoison.Part) *coltspb.PromptPart {
	return &coltspb.PromptPart{Model: string(p.Model), Id: p.ID}
}

func decodePart(m *coltspb.PromptPart) coltspoison.Part {
	return coltspoison.Part{Model: coltsidentity.Model(m.GetModel()), ID: m.GetId()}
}

// AddPoisonReport adds an observer's report to a request.
func AddPoisonReport(to *coltspb.WatchRequest, r coltspoison.Report, now time.Time) {
	to.PartCrashes = convert(r.Crashes, func(c coltspoison.Crash) *coltspb.PartCrash {
		return &coltspb.PartCrash{
			Upstream: string(c.Upstream), AgeNanos: encodeAge(c.At, now), Parts: convert(c.Parts, encodePart),
			RepeatedCrash: c.Repeated,
		}
	})
	to.PartAnswers = convert(r.Answers, func(a coltspoison.Answer) *coltspb.PartAnswer {
		return &coltspb.PartAnswer{Part: encodePart(a.Part), AgeNanos: encodeAge(a.At, now)}
	})
	to.PartBlocks = encodeBlocks(r.Blocks, now)
}

// DecodePoisonReport returns the observer's report in a request.
func DecodePoisonReport(m *coltspb.WatchRequest, now time.Time) coltspoison.Report {
	return coltspoison.Report{
		Crashes: convert(m.GetPartCrashes(), func(c *coltspb.PartCrash) coltspoison.Crash {
			return coltspoison.Crash{
				Upstream: coltsidentity.Upstream(c.GetUpstream()), At: decodeAge(c.GetAgeNanos(), now),
				Parts: convert(c.GetParts(), decodePart), Repeated: c.GetRepeatedCrash(),
			}
		}),
		Answers: convert(m.GetPartAnswers(), func(a *coltspb.PartAnswer) coltspoison.Answer {
			return coltspoison.Answer{Part: decodePart(a.GetPart()), At: decodeAge(a.GetAgeNanos(), now)}
		}),
		Blocks: decodeBlocks(m.GetPartBlocks(), now),
	}
}

// AddPoisonVerdict adds the register's verdict to a reply.
func AddPoisonVerdict(to *coltspb.WatchReply, v coltspoison.Verdict, now time.Time) {
	to.WatchedParts = convert(v.Watched, encodePart)
	to.PartBlocks = encodeBlocks(v.Blocks, now)
	to.ExplainedCrashes = convert(v.Explained, func(u coltsidentity.Upstream) string { return string(u) })
}

// DecodePoisonVerdict returns the register's verdict in a reply.
func DecodePoisonVerdict(m *coltspb.WatchReply, now time.Time) coltspoison.Verdict {
	return coltspoison.Verdict{
		Watched: convert(m.GetWatchedParts(), decodePart), Blocks: decodeBlocks(m.GetPartBlocks(), now),
		Explained: convert(m.GetExplainedCrashes(), func(s string) coltsidentity.Upstream { return coltsidentity.Upstream(s) }),
	}
}

func encodeBlocks(blocks []coltspoison.Block, now time.Time) []*coltspb.PartBlock {
	return convert(blocks, func(b coltspoison.Block) *coltspb.PartBlock {
		return &coltspb.PartBlock{Part: encodePart(b.Part), LeftNanos: int64(b.Until.Sub(now))}
	})
}

func decodeBlocks(messages []*coltspb.PartBlock, now time.Time) []coltspoison.Block {
	return convert(messages, func(m *coltspb.PartBlock) coltspoison.Block {
		return coltspoison.Block{Part: decodePart(m.GetPart()), Until: now.Add(time.Duration(m.GetLeftNanos()))}
	})
}
