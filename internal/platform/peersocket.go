package platform

// The datagrams between coordinators.

import (
	"errors"
	"fmt"
	"log/slog"
	"net"

	"lapislever/balance"
	"lapislever/internal/core"
	lnet "lapislever/internal/net"
)

// maxDatagram is the size in bytes of a datagram that the platform allows.
const maxDatagram = 256

// peerSocket exchanges datagrams with other coordinators.
type peerSocket struct {
	cfg         *Config
	log         *slog.Logger
	post        func(core.Event)
	conn        *net.UDPConn
	addrs       []*net.UDPAddr
	allAddr     *net.UDPAddr
	out         chan datagram
	peerNumbers map[string]uint32
}

type datagram struct {
	to   *net.UDPAddr
	text string
}

func listenPeers(cfg *Config, log *slog.Logger, post func(core.Event),
	received *receivedSockets) (*peerSocket, error) {
	p := &peerSocket{cfg: cfg, log: log, post: post, out: make(chan datagram, 64),
		peerNumbers: map[string]uint32{}}
	var err error
	for i, text := range cfg.Peers {
		a, err := net.ResolveUDPAddr("udp", text)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		p.addrs = append(p.addrs, a)
		p.peerNumbers[a.String()] = uint32(i)
	}
	if cfg.PeersAll != "" {
		if p.allAddr, err = net.ResolveUDPAddr("udp", cfg.PeersAll); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	if received != nil && received.peers != nil {
		p.conn = received.peers
		return p, nil
	}
	c, err := lnet.ListenPacket(cfg.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	p.conn = c
	return p, nil
}

// Tell queues a datagram, or drops it where the queue is full: any datagram may be lost.
func (p *peerSocket) Tell(peer uint32, text string) {
	if len(text) == 0 || len(text) > maxDatagram { // the platform forbids longer ones
		p.log.Error("message to a peer is empty or too long", "bytes", len(text))
		return
	}
	addr := p.allAddr
	if peer != balance.AllPeers {
		if int64(peer) >= int64(len(p.addrs)) || int(peer) == p.cfg.Module.Number {
			return
		}
		addr = p.addrs[peer]
	}
	if addr == nil {
		return
	}
	select {
	case p.out <- datagram{to: addr, text: text}:
	default:
	}
}

func (p *peerSocket) write() {
	for d := range p.out {
		if _, err := p.conn.WriteToUDP([]byte(d.text), d.to); errors.Is(err, net.ErrClosed) {
			return
		}
	}
}

func (p *peerSocket) read() {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		peer, known := p.peerNumbers[from.String()]
		if known && int(peer) == p.cfg.Module.Number {
			continue // our own broadcast
		}
		if !known || n > maxDatagram {
			p.log.Warn("datagram from an unknown sender or too long", "from", from, "bytes", n)
			continue
		}
		p.post(core.PeerMessage{From: peer, Data: append([]byte(nil), buf[:n]...)})
	}
}
