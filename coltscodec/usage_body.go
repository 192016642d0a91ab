package coltscodec

// The usage in an answer is the standard field of the OpenAI-style interface.

import "github.com/valyala/fastjson"

// Usage are the tokens of a whole answer.
type Usage struct {
	Prompt    int64
	Cached    int64
	Generated int64
}

// DecodeUsage reads the usage out of an answer; a missing number counts as 0.
func DecodeUsage(body []byte) Usage {
	parser := promptParsers.Get()
	defer promptParsers.Put(parser)
	v, err := parser.ParseBytes(body)
	if err != nil {
		return Usage{}
	}
	return Usage{
		Prompt:    v.GetInt64("usage", "prompt_tokens"),
		Cached:    v.GetInt64("usage", "prompt_tokens_details", "cached_tokens"),
		Generated: v.GetInt64("usage", "completion_tokens"),
	}
}

// AnswerID returns the identity that a whole answer carries.
func AnswerID(body []byte) string {
	return fastjson.GetString(body, "id")
}
