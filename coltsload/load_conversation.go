package coltsload

// Conversations are what arrivals return to. Each has a text of its own that only
// grows, so that what a perfect cache would save is known.

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"coltsfootstall/coltscache"
	"coltsfootstall/coltscaller"
	"coltsfootstall/coltssystem"
)

// sentence fills prompts.
const sentence = " and one more sheet of the seed paper"

// conversation is one caller's conversation.
type conversation struct {
	organisation int
	messages     []coltscaller.Message
	// answeredAt is when its last answer ended.
	answeredAt time.Time
	// kept is how many leading pieces were computed for it before.
	kept int
}

// pool holds the conversations that nobody is waiting for.
type pool struct {
	mu   sync.Mutex
	idle []*conversation
	next int
}

// begin returns a new conversation of some pieces.
func (p *pool) begin(organisation, pieces int, poison bool) *conversation {
	p.mu.Lock()
	p.next++
	n := p.next
	p.mu.Unlock()
	text := fmt.Sprintf("Batch %d.", n)
	if poison {
		// The same text each time, since its caller sends it again and again.
		text = poisonText
	}
	text += strings.Repeat(sentence, pieces*coltscache.PieceBytes/len(sentence)+1)
	return &conversation{organisation: organisation, messages: []coltscaller.Message{{Role: "user", Content: text}}}
}

// take returns a conversation whose last answer ended before a time; nil if there
// is none.
func (p *pool) take(before time.Time) *conversation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 || p.idle[0].answeredAt.After(before) {
		return nil
	}
	c := p.idle[0]
	p.idle = p.idle[1:]
	return c
}

// put gives a conversation back after its answer.
func (p *pool) put(c *conversation, answer string, now time.Time) {
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

// text renders the messages as runners read them.
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
