package main

import (
	"net"
	"sync"
)

// proxy passes connections on to an address. While it is cut, it passes nothing in either
// direction; what it held then is lost. While it is down, it refuses connections.
type proxy struct {
	address, to string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	isCut    bool
}

func newProxy(ip, to string) (*proxy, error) {
	address, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, to: to, conns: make(map[net.Conn]bool)}
	return p, p.up()
}

// up listens.
func (p *proxy) up() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return nil
}

// down ends all connections and refuses new ones.
func (p *proxy) down() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	p.closeAll()
}

func (p *proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close()
	}
	p.conns = make(map[net.Conn]bool)
}

func (p *proxy) track(c net.Conn) (isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return p.isCut
}

func (p *proxy) pass(c net.Conn) {
	if p.track(c) {
		return
	}
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	p.track(s)
	go p.copy(s, c)
	p.copy(c, s)
}

func (p *proxy) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		held := p.isCut
		p.mu.Unlock()
		if held {
			return
		}
		if n > 0 {
			_, werr := to.Write(b[:n])
			if err == nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
}

// heal ends the cut. The connections from before and during it are gone.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	p.closeAll()
}
