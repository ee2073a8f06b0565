package entry

import (
	"context"
	"net"
)

const (
	// emptyNodeBytes is the memory of a node without requests, in bytes: that of the
	// busiest of 300 nodes (CAPACITY.md).
	emptyNodeBytes = 36 << 20
	// requestMemoryPercent is the percentage of the remaining memory for requests. The rest
	// is for idle connections, what the garbage collector has not freed yet and the buffers
	// of sockets.
	requestMemoryPercent = 80
	// minMemoryDivisor bounds the part for requests of a small memory from below.
	minMemoryDivisor = 4
	// callerReadBuffer is the size in bytes of the receive buffer of a caller's
	// connection. The kernel takes twice as much. Without a bound, it grows to
	// megabytes for each connection.
	callerReadBuffer = 64 << 10
)

// requestMemory returns the number of bytes for the requests in flight on a VM with a
// memory limit; zero if the limit is not known.
func requestMemory(limit int64) int64 {
	return max(limit-emptyNodeBytes, limit/minMemoryDivisor) * requestMemoryPercent / 100
}

// boundReadBuffer bounds what the kernel receives on a connection before it is read.
func boundReadBuffer(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*net.TCPConn); ok {
		// If it can't be set, the connection has failed already.
		_ = c.SetReadBuffer(callerReadBuffer)
	}
	return ctx
}
