package wire

type cnt struct {
	m interface {
		Sent(string, int)
		Received(string)
	}
}

func (c cnt) Sent(k Kind, n int) { c.m.Sent(k.String(), n) }
func (c cnt) Received(k Kind)    { c.m.Received(k.String()) }
func Count(m interface {
	Sent(string, int)
	Received(string)
}) Observer {
	return cnt{m}
}
