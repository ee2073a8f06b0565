package gossip

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"almondbay.example/internal/node/recovery"
)

// SocketConfig configures a Socket.
type SocketConfig struct {
	Clock clockwork.Clock
	// Listen is the address and port of this node; all nodes use the same port.
	Listen      netip.AddrPort
	Incarnation int64
	// OnMessage is called for each decoded message.
	OnMessage func(Message)
	// OnError is called for each datagram that can't be sent or decoded.
	OnError func(error)
}

// Socket sends and receives messages as UDP datagrams.
type Socket struct {
	config   SocketConfig
	conn     *net.UDPConn
	sequence atomic.Uint64
}

// maxDatagram limits the size of a message in bytes; larger ones are not sent.
const maxDatagram = 60 << 10

// Listen opens the UDP socket.
func Listen(c SocketConfig) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Socket{config: c, conn: conn}, nil
}

// Run receives messages until the socket is closed.
func (s *Socket) Run() error {
	// A datagram that fills the buffer is too large.
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return Error.Wrap(err)
		}
		if n > maxDatagram {
			s.config.OnError(Error.New("datagram from %s exceeds %d bytes", from, maxDatagram))
			continue
		}
		m, err := decode(buffer[:n], s.config.Clock.Now())
		if err != nil {
			s.config.OnError(Error.New("datagram from %s: %w", from, err))
			continue
		}
		m.Address = from.Addr().Unmap().String()
		s.deliver(m)
	}
}

// deliver passes a message on. A panic is reported as an error: a message of another
// node must not end the process.
func (s *Socket) deliver(m Message) {
	err := recovery.Call(func() error {
		s.config.OnMessage(m)
		return nil
	})
	if err != nil {
		s.config.OnError(Error.New("message of node %q: %w", m.Node, err))
	}
}

// Close closes the socket and makes Run return.
func (s *Socket) Close() error {
	return Error.Wrap(s.conn.Close())
}

// Send stamps the message with the incarnation and the next sequence number and
// sends it to each of the peers. It returns the sequence number.
func (s *Socket) Send(m Message, peers []Peer) uint64 {
	m.Incarnation = s.config.Incarnation
	m.Sequence = s.sequence.Add(1)
	body, err := encode(m, s.config.Clock.Now())
	if err == nil && len(body) > maxDatagram {
		err = Error.New("message of %d bytes exceeds the limit of a datagram", len(body))
	}
	if err != nil {
		s.config.OnError(err)
		return m.Sequence
	}
	for _, p := range peers {
		address, err := netip.ParseAddr(p.Address)
		if err != nil {
			s.config.OnError(Error.New("address %q of node %q: %w", p.Address, p.Node, err))
			continue
		}
		if _, err := s.conn.WriteToUDPAddrPort(body, netip.AddrPortFrom(address, s.config.Listen.Port())); err != nil {
			s.config.OnError(Error.Wrap(err))
		}
	}
	return m.Sequence
}
