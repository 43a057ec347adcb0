package harness

import (
	"io"
	"net"
	"sync"
)

// Proxy passes connections on to another address.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []net.Conn
}

// NewProxy starts a proxy on an address of its own.
func NewProxy(target string) (*Proxy, error) {
	address, err := Address()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target}
	go p.run()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

func (p *Proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		go pass(in, out)
		go pass(out, in)
	}
}

func pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

// Close ends the proxy and all connections through it.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
