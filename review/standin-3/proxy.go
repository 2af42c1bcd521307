package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
)

const proxiedPort = linkPort + 1 // at which an entry behind a proxy accepts links

// linkProxy carries the links that others open to an entry. It reads from the first message
// of a link who has opened it.
type linkProxy struct {
	target string
	cut    func(dialer string) bool // links of these get nothing and send nothing
}

func startProxy(ip string, cut func(dialer string) bool) error {
	l, err := net.Listen("tcp", addr(ip, linkPort))
	if err != nil {
		return err
	}
	p := &linkProxy{target: addr(ip, proxiedPort), cut: cut}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return nil
}

func (p *linkProxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return // nothing listens: the process does not run
	}
	defer func() { _ = server.Close() }()
	fromClient, fromServer := bufio.NewReader(client), bufio.NewReader(server)
	if copyHeader(server, fromClient) != nil || copyHeader(client, fromServer) != nil {
		return
	}
	frame, hello, err := readFrame(fromClient)
	if err != nil {
		return
	}
	if p.cut(dialerOf(hello)) {
		_, _ = io.Copy(io.Discard, client) // until the dialer gives up
		return
	}
	if _, err := server.Write(frame); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(client, fromServer)
		_ = client.Close()
		_ = server.Close()
	}()
	_, _ = io.Copy(server, fromClient)
}

// copyHeader copies the header of an HTTP message.
func copyHeader(to io.Writer, from *bufio.Reader) error {
	for {
		text, err := from.ReadBytes('\n')
		if err != nil {
			return err
		}
		if _, err := to.Write(text); err != nil {
			return err
		}
		if len(bytes.TrimSpace(text)) == 0 {
			return nil
		}
	}
}

// readFrame reads a masked WebSocket frame, and returns it and its content.
func readFrame(r *bufio.Reader) (frame, content []byte, err error) {
	read := func(n int) []byte {
		part := make([]byte, n)
		if err == nil {
			_, err = io.ReadFull(r, part)
		}
		frame = append(frame, part...)
		return part
	}
	head := read(2)
	length := int(head[1] & 0x7f)
	switch length {
	case 126:
		length = int(binary.BigEndian.Uint16(read(2)))
	case 127:
		length = int(binary.BigEndian.Uint64(read(8))) //nolint:gosec // hellos are small
	}
	mask := read(4)
	content = append([]byte(nil), read(length)...)
	for i := range content {
		content[i] ^= mask[i%4]
	}
	return frame, content, err
}

// dialerOf returns the name of an entry that stands in a hello, or an empty text: an agent
// has opened the link.
func dialerOf(hello []byte) string {
	text := string(hello)
	i := strings.Index(text, "front-")
	if i < 0 {
		return ""
	}
	end := i
	for end < len(text) && (text[end] == '-' || text[end] >= 'a' && text[end] <= 'z' || text[end] >= '0' && text[end] <= '9') {
		end++
	}
	return text[i:end]
}
