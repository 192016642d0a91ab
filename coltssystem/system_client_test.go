package coltssystem

// The public OpenAI client library must work with an entry without changes.

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"

	"coltsfootstall/coltsstandin"
)

// newOpenAIClient returns a client of the first entry that never retries.
func newOpenAIClient(s *System, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+s.Entries[0].CallerAddr().String()+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
}

// chatParams returns a chat completion request for an answer of five tokens.
func chatParams(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     ModelName,
		MaxTokens: openai.Int(5),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// assertAPIError asserts that err is an API error with this HTTP status and code.
func assertAPIError(t *testing.T, err error, status int, code string) {
	t.Helper()
	var apiError *openai.Error
	assert.Assert(t, errors.As(err, &apiError), "%v", err)
	assert.Equal(t, apiError.StatusCode, status)
	assert.Equal(t, apiError.Code, code)
}

func TestOrdinaryClient(t *testing.T) {
	s := startSystem(t, nil)
	client := newOpenAIClient(s, KeySeedPaper)
	ctx := context.Background()
	want := coltsstandin.Answer([]byte("user\x00hello\x00"), 5)

	t.Run("a chat completion", func(t *testing.T) {
		r, err := client.Chat.Completions.New(ctx, chatParams("hello"))
		assert.NilError(t, err)
		assert.Equal(t, r.Choices[0].Message.Content, want)
		assert.Equal(t, r.Usage.CompletionTokens, int64(5))
	})
	t.Run("a streamed chat completion", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams("hello"))
		var answer openai.ChatCompletionAccumulator
		for stream.Next() {
			assert.Assert(t, answer.AddChunk(stream.Current()))
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, answer.Choices[0].Message.Content, want)
	})
	t.Run("the list of models", func(t *testing.T) {
		page, err := client.Models.List(ctx)
		assert.NilError(t, err)
		assert.Equal(t, page.Data[0].ID, ModelName)
	})
	t.Run("an unknown key", func(t *testing.T) {
		unauthorized := newOpenAIClient(s, "nobody")
		_, err := unauthorized.Chat.Completions.New(ctx, chatParams("hello"))
		assertAPIError(t, err, http.StatusUnauthorized, "unknown-key")
	})
	t.Run("an unknown model", func(t *testing.T) {
		params := chatParams("hello")
		params.Model = "nothing"
		_, err := client.Chat.Completions.New(ctx, params)
		assertAPIError(t, err, http.StatusNotFound, "unknown-model")
	})
	t.Run("a body without messages", func(t *testing.T) {
		params := chatParams("hello")
		params.Messages = nil
		_, err := client.Chat.Completions.New(ctx, params)
		assertAPIError(t, err, http.StatusBadRequest, "bad-request")
	})
}
