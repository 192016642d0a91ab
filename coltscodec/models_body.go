package coltscodec

// The list of models has the form of the OpenAI-style interface.

import "encoding/json"

type modelsText struct {
	Object string          `json:"object"`
	Data   []modelItemText `json:"data"`
}

type modelItemText struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// EncodeModels returns the body that lists models by their names.
func EncodeModels(names []string) []byte {
	text := modelsText{Object: "list", Data: convert(names, func(name string) modelItemText {
		return modelItemText{ID: name, Object: "model", OwnedBy: "coltsfootstall"}
	})}
	body, err := json.Marshal(text)
	if err != nil {
		// Strings and numbers always marshal; see encoding/json.
		panic(err)
	}
	return body
}
