package command

import (
	"net"

	"github.com/rotisserie/eris"
)

// listen opens a TCP listener on an IPv4 address.
func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen on "+address)
	}
	return listener, nil
}
