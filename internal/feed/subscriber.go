package feed

import (
	"context"
	"net"
	"time"
)

// dialTimeout bounds the wait for a connection. A VM without power does not
// refuse one.
const dialTimeout = 400 * time.Millisecond

// Subscribe follows the feed of one publisher until the connection fails, ctx
// ends or handle returns an error. hello returns the first message; handle
// takes each update and returns the acknowledgement.
func Subscribe(ctx context.Context, address string, hello *Hello, handle func(*Update) (Ack, error)) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := write(conn, hello); err != nil {
		return err
	}
	for {
		u := new(Update)
		if err := conn.SetReadDeadline(time.Now().Add(SilenceLimit)); err != nil {
			return err
		}
		if err := read(conn, u); err != nil {
			return err
		}
		ack, err := handle(u)
		if err != nil {
			return err
		}
		if err := write(conn, &ack); err != nil {
			return err
		}
	}
}

func write(conn net.Conn, m message) error {
	frame, err := encode(m)
	if err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}
