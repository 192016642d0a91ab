// Package coltspoison finds the parts of prompts that crash upstreams, so that prompts with them
// are refused instead of crashing one upstream after the other.
//
// A request that crashes upstreams may come with a new last part and a new body each time, so
// counting crashes by request finds nothing. They are counted by part: the Observer of each gateway records
// crashes and answers, the Register of control's leader adds them up and decides, and the
// observers apply its decisions.
package coltspoison

// A crash says little about a part, because every prompt that waits for its answer at that moment is
// charged with it, and a prompt that crashes upstreams shares most of its parts with sound ones. What
// tells them apart is that a sound part is answered elsewhere in the meantime.

import (
	"fmt"
	"time"

	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsshard"
)

// Part identifies a part of the prompts to a model. An empty ID stands for all prompts to the
// model.
type Part struct {
	Model coltsidentity.Model
	ID    string
}

func (p Part) shard() int { return coltsshard.Of(p.Model + "\x00" + coltsidentity.Model(p.ID)) }

// allOf returns the part that stands for all prompts to the model of p.
func (p Part) allOf() Part { return Part{Model: p.Model} }

// Crash is the crash of an upstream that had not begun to answer a prompt.
type Crash struct {
	// Upstream identifies the process that crashed.
	Upstream coltsidentity.Upstream
	At       time.Time
	// Parts are the prompt's shared parts, in order.
	Parts []Part
	// Repeated is set if the same request had crashed another upstream before.
	Repeated bool
}

// Answer is the time of the newest answer to a prompt with a part.
type Answer struct {
	Part Part
	At   time.Time
}

// Block refuses prompts with a part until a time.
type Block struct {
	Part  Part
	Until time.Time
}

// Report is what an observer tells the register.
type Report struct {
	Crashes []Crash
	// Answers are those to prompts with watched parts.
	Answers []Answer
	// Blocks are the blocks that the observer knows. A new leader learns of them this way.
	Blocks []Block
}

// Verdict is what the register tells the observers.
type Verdict struct {
	// Watched are the parts whose answers the observers report.
	Watched []Part
	Blocks  []Block
	// Explained are the processes that crashed on prompts with blocked parts, so that their crashes don't count
	// against whatever else they ran.
	Explained []coltsidentity.Upstream
}

// BlockedError reports that prompts with a part are refused.
type BlockedError struct{ Block }

// Error returns the part and the end of the block.
func (e *BlockedError) Error() string {
	return fmt.Sprintf("prompts to %s with part %s crash upstreams and are refused until %s",
		e.Part.Model, e.Part.ID, e.Until.Format(time.RFC3339))
}
