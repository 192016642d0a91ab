package coltscodec

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func assertBodyError(t *testing.T, body, param string) {
	t.Helper()
	_, err := DecodeChat([]byte(body))
	var bad *BodyError
	assert.Assert(t, errors.As(err, &bad), "%v", err)
	assert.Equal(t, bad.Param, param)
}

func textOf(t *testing.T, body string) []byte {
	t.Helper()
	r, err := DecodeChat([]byte(body))
	assert.NilError(t, err)
	return r.Text
}

func TestDecodeChat(t *testing.T) {
	t.Run("a longer turn begins with the shorter one's text", func(t *testing.T) {
		short := textOf(t, `{"model":"m","messages":[{"role":"user","content":"a"}]}`)
		long := textOf(t, `{"model":"m","messages":[{"role":"user","content":"a"},{"role":"assistant","content":"b"}]}`)
		assert.Assert(t, bytes.HasPrefix(long, short))
	})
	t.Run("texts that differ in their roles or cuts differ", func(t *testing.T) {
		a := textOf(t, `{"model":"m","messages":[{"role":"user","content":"ab"}]}`)
		b := textOf(t, `{"model":"m","messages":[{"role":"user","content":"a"},{"role":"user","content":"b"}]}`)
		assert.Assert(t, !bytes.Equal(a, b))
	})
	t.Run("model, version and adapter are read apart", func(t *testing.T) {
		r, err := DecodeChat([]byte(`{"model":"m@w2+tone","messages":[{"role":"user","content":"a"}],"stream":true,"max_tokens":5}`))
		assert.NilError(t, err)
		assert.Equal(t, string(r.Model)+" "+string(r.Version)+" "+string(r.Adapter), "m w2 tone")
		assert.Assert(t, r.Stream)
		assert.Equal(t, r.MaxTokens, int64(5))
	})
	t.Run("bad bodies are named", func(t *testing.T) {
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
			var bad *BodyError
			assert.Assert(t, errors.As(err, &bad))
			return
		}
		assert.Assert(t, len(r.Model) > 0)
	})
}
