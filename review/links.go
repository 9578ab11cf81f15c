package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// links carries the connections between the machines of the system. Each machine uses
// ports of its own for them, so that the port to which it connects tells who it is.
type links struct {
	mu  sync.Mutex
	cut map[string]bool // names of the machines that are cut off
}

func (l *links) set(name string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[name] = cut
}

func (l *links) isCut(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[a] || l.cut[b]
}

// useLinks gives each VM ports of its own, and starts the links to the control VMs. It
// must be called before the processes are started.
func (w *world) useLinks() error {
	all := append(append([]*vm(nil), w.controls...), w.entries...)
	w.links = &links{cut: map[string]bool{}}
	for i, v := range all {
		v.firstPort = w.firstPort + 16 + 2*i
	}
	for _, from := range all {
		for _, to := range w.controls {
			if from == to {
				continue
			}
			for n := range 2 {
				at, err := net.Listen("tcp4", to.at(from.firstPort+n))
				if err != nil {
					return err
				}
				go w.serveLink(at, from, to, to.at(to.firstPort+n))
			}
		}
	}
	return nil
}

func (w *world) serveLink(at net.Listener, from, to *vm, target string) {
	go func() {
		<-w.stopped
		at.Close()
	}()
	for {
		in, err := at.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			for w.links.isCut(from.name, to.name) {
				if !w.sleep(50 * time.Millisecond) {
					return
				}
			}
			out, err := net.DialTimeout("tcp4", target, time.Second)
			if err != nil {
				return
			}
			defer out.Close()
			var group sync.WaitGroup
			group.Go(func() { w.carry(out, in, from, to) })
			group.Go(func() { w.carry(in, out, from, to) })
			group.Wait()
		}()
	}
}

// carry copies bytes, which are held up while one of the machines is cut off.
func (w *world) carry(dst, src net.Conn, from, to *vm) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		for w.links.isCut(from.name, to.name) {
			if !w.sleep(50 * time.Millisecond) {
				return
			}
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				src.Close()
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = dst.(*net.TCPConn).CloseWrite()
			} else {
				dst.Close()
			}
			return
		}
	}
}
