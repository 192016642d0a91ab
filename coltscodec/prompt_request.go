package coltscodec

// Callers' bodies are passed on to the runner as they came, so only what a
// decision needs is read out of them. The text is what the model reads, in its
// order: a longer turn of the same conversation starts with the same bytes,
// which is what makes its pieces' names agree.

import (
	"fmt"
	"strings"

	"github.com/valyala/fastjson"

	"coltsfootstall/coltsidentity"
)

// PromptRequest is what is read out of a caller's request to a model.
type PromptRequest struct {
	Model   coltsidentity.Model
	Version coltsidentity.Version
	Adapter coltsidentity.Adapter
	Text    []byte
	// Stream says that the answer is to come as server-sent events.
	Stream bool
	// IncludeUsage says that the caller wants a last event with the usage.
	IncludeUsage bool
	MaxTokens    int64
}

// BodyError reports a request's body that can't be read.
type BodyError struct {
	// Param is the field that is wrong; empty for the whole body.
	Param  string
	Reason string
}

// Error names the field and what is wrong with it.
func (e *BodyError) Error() string {
	if e.Param == "" {
		return "the body " + e.Reason
	}
	return fmt.Sprintf("the field %q %s", e.Param, e.Reason)
}

var promptParsers fastjson.ParserPool

// DecodeChat reads the body of a chat completion. The result does not refer to
// the body.
func DecodeChat(body []byte) (PromptRequest, error) {
	return decodePrompt(body, appendMessages)
}

// DecodeCompletion reads the body of a completion.
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
		return PromptRequest{}, &BodyError{Param: "model", Reason: "names no model"}
	}
	r.Text, err = appendText(make([]byte, 0, len(body)), v)
	if err != nil {
		return PromptRequest{}, err
	}
	return r, nil
}

func maxTokens(v *fastjson.Value) int64 {
	if v.Exists("max_completion_tokens") {
		return v.GetInt64("max_completion_tokens")
	}
	return v.GetInt64("max_tokens")
}

// splitModel reads "model@version+adapter", of which the last two may be absent.
func splitModel(name string) (coltsidentity.Model, coltsidentity.Version, coltsidentity.Adapter) {
	rest, adapter, _ := strings.Cut(name, "+")
	model, version, _ := strings.Cut(rest, "@")
	return coltsidentity.Model(model), coltsidentity.Version(version), coltsidentity.Adapter(adapter)
}

// partEnd ends each part of the text. It can't stand in JSON text unescaped, so
// that two lists of messages never render alike.
const partEnd = 0

func appendMessages(text []byte, v *fastjson.Value) ([]byte, error) {
	messages := v.GetArray("messages")
	if len(messages) == 0 {
		return nil, &BodyError{Param: "messages", Reason: "is missing or empty"}
	}
	for _, field := range []string{"tools", "response_format"} {
		if v.Exists(field) {
			text = v.Get(field).MarshalTo(text)
			text = append(text, partEnd)
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

// appendMessage renders a message. Plain text is rendered as it is; all else in
// the message, such as calls of tools, as JSON.
func appendMessage(text []byte, m *fastjson.Value) []byte {
	text = append(text, m.GetStringBytes("role")...)
	text = append(text, partEnd)
	if content := m.Get("content"); content != nil && content.Type() == fastjson.TypeString {
		text = append(text, content.GetStringBytes()...)
	} else if content != nil {
		text = content.MarshalTo(text)
	}
	text = append(text, partEnd)
	for _, field := range []string{"name", "tool_calls", "tool_call_id"} {
		if m.Exists(field) {
			text = m.Get(field).MarshalTo(text)
			text = append(text, partEnd)
		}
	}
	return text
}

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
