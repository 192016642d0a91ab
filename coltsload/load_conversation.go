package coltsload

// A returning request continues an earlier conversation. The text of each conversation is
// unique and only grows, so it is known how many tokens a perfect cache would save.

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

// fillerText is repeated to give prompts their length.
const fillerText = " and one more sheet of the seed paper"

// conversation is one caller's conversation, which has at most one request in progress.
type conversation struct {
	// organisation is the index of the caller's organisation.
	organisation int
	messages     []coltscaller.Message
	// answeredAt is when the last answer ended.
	answeredAt time.Time
	// cachedPieces is the number of leading pieces of the text that earlier requests have
	// computed.
	cachedPieces int
}

// conversationPool holds the conversations that can be continued.
type conversationPool struct {
	mu sync.Mutex
	// idle lists the conversations without a request in progress, the one whose answer ended
	// first at the front.
	idle []*conversation
	// created counts the conversations so far.
	created int
}

// create returns a new conversation whose first message is somewhat longer than the given
// number of pieces.
func (p *conversationPool) create(organisation, pieces int, poison bool) *conversation {
	p.mu.Lock()
	p.created++
	n := p.created
	p.mu.Unlock()
	text := fmt.Sprintf("Batch %d.", n)
	if poison {
		// All of these have the same text: one caller repeats one request.
		text = poisonText
	}
	text += strings.Repeat(fillerText, pieces*coltscache.PieceBytes/len(fillerText)+1)
	return &conversation{organisation: organisation, messages: []coltscaller.Message{{Role: "user", Content: text}}}
}

// take removes and returns the conversation that has been idle longest. It returns nil if
// there is none whose last answer ended by the given time.
func (p *conversationPool) take(before time.Time) *conversation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 || p.idle[0].answeredAt.After(before) {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

// put appends an answer and the next question to a conversation and makes it available to
// take.
func (p *conversationPool) put(c *conversation, answer string, now time.Time) {
	c.answeredAt = now
	c.messages = append(c.messages,
		coltscaller.Message{Role: "assistant", Content: answer},
		coltscaller.Message{Role: "user", Content: "and the next"})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// prompt returns the conversation's next request.
func (c *conversation) prompt(tokens int) coltscaller.Prompt {
	return coltscaller.Prompt{Model: coltssystem.ModelName, Messages: c.messages, MaxTokens: tokens}
}

// text returns the prompt's text as coltscodec extracts it from a request with these messages.
func (c *conversation) text() []byte {
	var text []byte
	for _, m := range c.messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
		text = append(text, 0)
	}
	return text
}
