package entry

const (
	// emptyNodeBytes is the memory of a node without requests, in bytes: that of the
	// busiest of 300 nodes (CAPACITY.md).
	emptyNodeBytes = 36 << 20
	// requestMemoryPercent is the percentage of the remaining memory for callers and their
	// requests. The rest is for what the garbage collector has not freed yet and the buffers
	// of sockets to servers.
	requestMemoryPercent = 80
	// minMemoryDivisor bounds the part for requests of a small memory from below.
	minMemoryDivisor = 4
	// softMemoryPercent is the soft limit of the Go runtime as a percentage of the memory.
	// The rest is for the program file and for what the kernel has received.
	softMemoryPercent = 70
)

// Descriptors of a node.
const (
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// defaultDescriptors is taken if the limit is not known.
	defaultDescriptors = 4096
	// callersShare and peersShare are the parts of all sockets that connections of callers
	// and of other nodes may take, in eighths. The rest is for the store, servers and other
	// nodes, and for the two ports below.
	callersShare, peersShare, allShares = 5, 1, 8
	// maxPeerConnections is about twice the number of connections that a node with 200 peers
	// in its failure domain gets from them. Each is charged portConnectionBytes, up to
	// a peersMemoryDivisor-th of the memory.
	maxPeerConnections  = 512
	peersMemoryDivisor  = 16
	portConnectionBytes = 32 << 10
	// readinessConnections and metricsConnections are the numbers of connections to these
	// ports. The platform opens one at a time.
	readinessConnections = 32
	metricsConnections   = 16
)

// Limits are those of a node on a VM.
type Limits struct {
	// Callers, Peers, Readiness and Metrics are the numbers of connections that may be open
	// at the same time at each port.
	Callers, Peers, Readiness, Metrics int
	// PortBytes is the memory in bytes of the connections at the ports other than that for
	// callers.
	PortBytes int64
	// AccountBytes is the memory in bytes for the connections of callers, their requests and
	// the responses; zero if the memory of the VM is not known.
	AccountBytes int64
}

// NewLimits returns the limits on a VM with a number of descriptors, zero if that is not
// known, and a memory in bytes.
func NewLimits(descriptors int, memory int64) Limits {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := max(descriptors-fileDescriptors, allShares)
	l := Limits{
		Callers: sockets * callersShare / allShares,
		Peers:   min(sockets*peersShare/allShares, maxPeerConnections),
		// On a VM with few descriptors, one in 32 of them.
		Readiness: max(min(sockets/32, readinessConnections), 2),
		Metrics:   max(min(sockets/32, metricsConnections), 2),
	}
	if memory > 0 {
		l.Peers = min(l.Peers, int(memory/peersMemoryDivisor/portConnectionBytes))
	}
	l.PortBytes = int64(l.Peers+l.Readiness+l.Metrics) * portConnectionBytes
	l.AccountBytes = max(memory-emptyNodeBytes-l.PortBytes, memory/minMemoryDivisor) * requestMemoryPercent / 100
	return l
}

// SoftMemoryLimit returns the soft limit of the Go runtime in bytes on a VM with a memory
// limit.
func SoftMemoryLimit(limit int64) int64 { return limit * softMemoryPercent / 100 }
