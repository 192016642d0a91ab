package coltscodec

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// assertBodyError asserts that DecodeChat fails with a BodyError for param.
func assertBodyError(t *testing.T, body, param string) {
	t.Helper()
	_, err := DecodeChat([]byte(body))
	var bodyErr *BodyError
	assert.Assert(t, errors.As(err, &bodyErr), "%v", err)
	assert.Equal(t, bodyErr.Param, param)
}

// promptText returns the text that DecodeChat derives from body.
func promptText(t *testing.T, body string) []byte {
	t.Helper()
	r, err := DecodeChat([]byte(body))
	assert.NilError(t, err)
	return r.Text
}

func TestDecodeChat(t *testing.T) {
	t.Run("the text of a later turn starts with the text of the earlier turn", func(t *testing.T) {
		earlier := promptText(t, `{"model":"m","messages":[{"role":"user","content":"a"}]}`)
		later := promptText(t, `{"model":"m","messages":[{"role":"user","content":"a"},{"role":"assistant","content":"b"}]}`)
		assert.Assert(t, bytes.HasPrefix(later, earlier))
	})
	t.Run("the same content in one message and split into two gives different texts", func(t *testing.T) {
		whole := promptText(t, `{"model":"m","messages":[{"role":"user","content":"ab"}]}`)
		split := promptText(t, `{"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":"b"}]}`)
		assert.Assert(t, !bytes.Equal(whole, split))
	})
	t.Run("model, version and adapter are split", func(t *testing.T) {
		r, err := DecodeChat([]byte(`{"model":"m@w2+tone","messages":[{"role":"user","content":"a"}],"stream":true,"max_tokens":5}`))
		assert.NilError(t, err)
		assert.Equal(t, string(r.Model)+" "+string(r.Version)+" "+string(r.Adapter), "m w2 tone")
		assert.Assert(t, r.Stream)
		assert.Equal(t, r.MaxTokens, int64(5))
	})
	t.Run("an invalid body is reported with its field", func(t *testing.T) {
		assertBodyError(t, `not json`, "")
		assertBodyError(t, `[]`, "")
		assertBodyError(t, `{"messages":[]}`, "model")
		assertBodyError(t, `{"model":"@w1","messages":[{"role":"user"}]}`, "model")
		assertBodyError(t, `{"model":"m"}`, "messages")
		assertBodyError(t, `{"model":"m","messages":[{"content":"a"}]}`, "messages[0]")
	})
}

func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := DecodeChat(body)
		if err != nil {
			var bodyErr *BodyError
			assert.Assert(t, errors.As(err, &bodyErr))
			return
		}
		assert.Assert(t, len(r.Model) > 0)
	})
}
