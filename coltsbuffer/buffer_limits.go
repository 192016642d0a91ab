package coltsbuffer

// The limits that follow from the size of a machine. What a process uses without any load, and what
// the garbage collector leaves standing beside live memory, is not counted byte by byte, so room for
// it is left here.

const (
	// baseBytes is what a process uses without load: an idle gateway has 18 MB resident, and a route
	// table, a list of upstreams and pooled connections to them come on top.
	baseBytes = 32 << 20
	// bytesPerLiveByte is the resident memory for each byte that is counted. With GOGC=50 the heap
	// grows to 1.5 times what is live; allocations of odd sizes and buffers that were just replaced
	// take the rest.
	bytesPerLiveByte = 2
	// minBudgetBytes is the least budget. It holds the longest request and its response.
	minBudgetBytes = 16 << 20
	// reserveShare is the divisor that gives the part of a budget that is reserved for short messages.
	reserveShare = 8
	// ConnectionBytes is what an open connection of a caller takes: its read buffer, the stack of its
	// goroutine and its parsed request head.
	ConnectionBytes = 16 << 10
	// nonHeapBytes is what the runtime's memory limit does not include or can't give back: the
	// program's text and the fragments of its arenas.
	nonHeapBytes = 24 << 20
	// reservedDescriptors are for files and listeners.
	reservedDescriptors = 200
	// upstreamShare is the divisor that gives the part of the other descriptors that is for
	// connections to upstreams and control.
	upstreamShare = 8
)

// ForMemory returns the configuration of the budget of a process on a machine with the given number of
// bytes of memory.
func ForMemory(memory int) Config {
	limit := max(minBudgetBytes, (memory-baseBytes)/bytesPerLiveByte)
	return Config{Limit: limit, Reserve: limit / reserveShare}
}

// RuntimeLimit returns the memory limit of the runtime on a machine with the given number of bytes. The
// runtime collects garbage more often only near this limit, which the budget keeps it below.
func RuntimeLimit(memory int) int {
	return max(memory/2, memory-nonHeapBytes)
}

// MaxConnections returns how many connections of callers a process with the given number of descriptors
// may have open.
func MaxConnections(descriptors int) int {
	rest := max(0, descriptors-reservedDescriptors)
	return max(1, rest-rest/upstreamShare)
}
