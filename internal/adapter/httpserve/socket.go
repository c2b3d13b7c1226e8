package httpserve

import "syscall"

// rawConn returns the socket of a connection or listener.
func rawConn(socket any) (syscall.RawConn, error) {
	if conn, ok := socket.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}
