package callerconn

import "net"

// Reset closes a connection so that the caller sees an error instead of its end.
func Reset(conn net.Conn) {
	if own, ok := conn.(*tracked); ok {
		conn = own.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without it the connection is closed the usual way, which is all that can be done.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
