package coltscodec

// Request bodies are forwarded to the runner unchanged, so only the fields needed
// for decisions are decoded. PromptRequest.Text contains what the model reads, in
// the same order: the text of a later turn of a conversation starts with the text of
// the earlier turn, so that the KV cache pieces that both have in common get the same
// names.

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"coltsfootstall/coltsidentity"
)

// PromptRequest holds the decoded fields of a caller's request to a model.
type PromptRequest struct {
	Model   coltsidentity.Model
	Version coltsidentity.Version
	Adapter coltsidentity.Adapter
	// Text is the whole prompt. The names of its cache pieces are derived from it.
	Text []byte
	// Stream is set if the answer should be sent as server-sent events.
	Stream bool
	// IncludeUsage is set if a stream should end with an event that contains the
	// usage.
	IncludeUsage bool
	// MaxTokens is the largest number of tokens to generate; 0 if the caller sets no
	// limit.
	MaxTokens int64
}

// BodyError reports an invalid request body.
type BodyError struct {
	// Param is the invalid field; empty if the error concerns the whole body.
	Param  string
	Reason string
}

// Error returns the field and the reason.
func (e *BodyError) Error() string {
	if e.Param == "" {
		return "the body " + e.Reason
	}
	return fmt.Sprintf("the field %q %s", e.Param, e.Reason)
}

var promptParsers fastjson.ParserPool

// DecodeChat decodes the body of a chat completion request. The result doesn't share
// memory with body.
func DecodeChat(body []byte) (PromptRequest, error) {
	return decodePrompt(body, appendMessages)
}

// DecodeCompletion decodes the body of a completion request. The result doesn't share
// memory with body.
func DecodeCompletion(body []byte) (PromptRequest, error) {
	return decodePrompt(body, appendPromptField)
}

func decodePrompt(body []byte, appendText func([]byte, *fastjson.Value) ([]byte, error)) (PromptRequest, error) {
	parser := promptParsers.Get()
	defer promptParsers.Put(parser)
	v, err := parser.ParseBytes(body)
	if err != nil {
		return PromptRequest{}, &BodyError{Reason: "is not JSON"}
	}
	if v.Type() != fastjson.TypeObject {
		return PromptRequest{}, &BodyError{Reason: "is not a JSON object"}
	}
	r := PromptRequest{
		Stream:       v.GetBool("stream"),
		IncludeUsage: v.GetBool("stream_options", "include_usage"),
		MaxTokens:    maxTokens(v),
	}
	name := v.GetStringBytes("model")
	if len(name) == 0 {
		return PromptRequest{}, &BodyError{Param: "model", Reason: "is missing"}
	}
	r.Model, r.Version, r.Adapter = splitModel(string(name))
	if r.Model == "" {
		return PromptRequest{}, &BodyError{Param: "model", Reason: "has no model name"}
	}
	r.Text, err = appendText(make([]byte, 0, len(body)), v)
	if err != nil {
		return PromptRequest{}, err
	}
	return r, nil
}

// maxTokens returns max_completion_tokens if the request contains it, and the older
// max_tokens otherwise.
func maxTokens(v *fastjson.Value) int64 {
	if v.Exists("max_completion_tokens") {
		return v.GetInt64("max_completion_tokens")
	}
	return v.GetInt64("max_tokens")
}

// splitModel splits a name of the form "model@version+adapter". Version and adapter
// are optional.
func splitModel(name string) (coltsidentity.Model, coltsidentity.Version, coltsidentity.Adapter) {
	versioned, adapter, _ := strings.Cut(name, "+")
	model, version, _ := strings.Cut(versioned, "@")
	return coltsidentity.Model(model), coltsidentity.Version(version), coltsidentity.Adapter(adapter)
}

// partTerminator terminates each part of the text, so that different lists of messages
// produce different texts. JSON can't contain this byte unescaped. Strings are decoded,
// though, so a role or a content with an escaped NUL (\u0000) still contains it.
const partTerminator = 0

// appendMessages appends the tools, the response format and the messages of a chat
// completion request to text.
func appendMessages(text []byte, v *fastjson.Value) ([]byte, error) {
	messages := v.GetArray("messages")
	if len(messages) == 0 {
		return nil, &BodyError{Param: "messages", Reason: "is missing or empty"}
	}
	for _, field := range []string{"tools", "response_format"} {
		if v.Exists(field) {
			text = v.Get(field).MarshalTo(text)
			text = append(text, partTerminator)
		}
	}
	for i, m := range messages {
		if m.Type() != fastjson.TypeObject || !m.Exists("role") {
			return nil, &BodyError{Param: fmt.Sprintf("messages[%d]", i), Reason: "has no role"}
		}
		text = appendMessage(text, m)
	}
	return text, nil
}

// appendMessage appends a message to text. The role and string content are appended
// as decoded strings, other content and fields such as tool calls as JSON.
func appendMessage(text []byte, m *fastjson.Value) []byte {
	text = append(text, m.GetStringBytes("role")...)
	text = append(text, partTerminator)
	if content := m.Get("content"); content != nil && content.Type() == fastjson.TypeString {
		text = append(text, content.GetStringBytes()...)
	} else if content != nil {
		text = content.MarshalTo(text)
	}
	text = append(text, partTerminator)
	for _, field := range []string{"name", "tool_calls", "tool_call_id"} {
		if m.Exists(field) {
			text = m.Get(field).MarshalTo(text)
			text = append(text, partTerminator)
		}
	}
	return text
}

// appendPromptField appends the prompt of a completion request to text.
func appendPromptField(text []byte, v *fastjson.Value) ([]byte, error) {
	prompt := v.Get("prompt")
	if prompt == nil {
		return nil, &BodyError{Param: "prompt", Reason: "is missing"}
	}
	if prompt.Type() == fastjson.TypeString {
		return append(text, prompt.GetStringBytes()...), nil
	}
	return prompt.MarshalTo(text), nil
}
