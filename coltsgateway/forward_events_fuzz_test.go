package coltsgateway

import "testing"

// FuzzEvents searches texts for the ends of events. No input may cause a panic.
func FuzzEvents(f *testing.F) {
	f.Add("4\r\nabcd\r\n0\r\n\r\n")
	f.Add("0\r\nX: y\r\n\r\n")
	f.Add("abc")
	f.Fuzz(func(_ *testing.T, text string) {
		new(eventScan).endOfEvents([]byte(text))
	})
}
