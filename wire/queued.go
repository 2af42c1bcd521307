package wire

// Queued returns how many messages wait to be written.
func (l *Link) Queued() int { return len(l.queue) }
