package wire

// Observer counts the messages of links. Implementations must be safe for
// concurrent use.
type Observer interface {
	Sent(kind Kind, bytes int) // queued for sending
	Received(kind Kind)
}

// Counter counts messages by the name of their kind.
type Counter interface {
	Sent(kind string, bytes int)
	Received(kind string)
}

// Count returns an observer that counts in counter.
func Count(counter Counter) Observer { return counting{counter} }

type counting struct{ counter Counter }

func (c counting) Sent(kind Kind, bytes int) { c.counter.Sent(kind.String(), bytes) }

func (c counting) Received(kind Kind) { c.counter.Received(kind.String()) }
