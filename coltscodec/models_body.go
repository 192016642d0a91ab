package coltscodec

// The list of models has the format of the OpenAI-style API.

import "encoding/json"

type modelsJSON struct {
	Object string          `json:"object"`
	Data   []modelItemJSON `json:"data"`
}

type modelItemJSON struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// EncodeModels returns the response body that lists the models with the given names.
func EncodeModels(names []string) []byte {
	list := modelsJSON{Object: "list", Data: convert(names, func(name string) modelItemJSON {
		return modelItemJSON{ID: name, Object: "model", OwnedBy: "coltsfootstall"}
	})}
	body, err := json.Marshal(list)
	if err != nil {
		// Strings and numbers always marshal; see encoding/json.
		panic(err)
	}
	return body
}
