package coltscodec

// A model's answer reports its usage in the standard field of the OpenAI-style API.

import "github.com/valyala/fastjson"

// Usage holds the token counts of a non-streamed answer.
type Usage struct {
	PromptTokens    int64
	CachedTokens    int64
	GeneratedTokens int64
}

// DecodeUsage returns the usage reported in the body of an answer. Missing numbers
// are 0, and so are all of them if body is not JSON.
func DecodeUsage(body []byte) Usage {
	parser := promptParsers.Get()
	defer promptParsers.Put(parser)
	v, err := parser.ParseBytes(body)
	if err != nil {
		return Usage{}
	}
	return Usage{
		PromptTokens:    v.GetInt64("usage", "prompt_tokens"),
		CachedTokens:    v.GetInt64("usage", "prompt_tokens_details", "cached_tokens"),
		GeneratedTokens: v.GetInt64("usage", "completion_tokens"),
	}
}

// AnswerID returns the value of the field "id" in the body of a non-streamed answer, or
// "" if it is missing.
func AnswerID(body []byte) string {
	return fastjson.GetString(body, "id")
}
