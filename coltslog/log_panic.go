package coltslog

// An unexpected error in one request or loop must not end the whole process with all its other
// requests.

import "runtime/debug"

// HandlePanic logs a panic with its stack and then calls then, unless that is nil. recovered is what
// recover returned in the deferred function that calls HandlePanic, which does nothing if there was
// no panic. fields say what failed.
func (p *Logger) HandlePanic(recovered any, fields Fields, then func()) {
	if recovered == nil {
		return
	}
	all := Fields{"panic": recovered, "stack": string(debug.Stack())}
	for key, value := range fields {
		all[key] = value
	}
	p.Error("An unexpected error ended what was in progress.", all)
	if then != nil {
		then()
	}
}
