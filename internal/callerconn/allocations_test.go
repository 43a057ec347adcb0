package callerconn

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against memory for each read of a caller's connection.
func TestReadAllocatesNothing(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	conn := newTracked(accepted, nil)
	defer conn.Close()
	data, buffer := []byte("GET"), make([]byte, 8)
	is.Equal(testing.AllocsPerRun(200, func() {
		_, _ = caller.Write(data)
		if n, err := conn.Read(buffer); n != len(data) || err != nil {
			t.Fatal(n, err)
		}
	}), 0.)
}
