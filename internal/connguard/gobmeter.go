package connguard

const (
	// messageCost is the memory of a byte of a gob message: the message as it arrives, the buffer that grows to hold it, and
	// the decoded value.
	messageCost = 3
	// typeCost is the memory of a byte of a type definition, which a decoder keeps, and maxTypeBytes limits
	// those of one connection.
	typeCost     = 16
	maxTypeBytes = 64 << 10
	// maxSingleByte is the greatest number that gob encodes in one byte. Greater ones are the negated
	// number of their bytes, of which there are at most maxNumberBytes, and these.
	maxSingleByte  = 0x7f
	maxNumberBytes = 8
)

// gobMeter follows the framing of gob messages, each of which is a length, the ID of its type and the rest of that length. A
// negative ID announces the definition of a type. The last bit of a number is its sign.
type gobMeter struct {
	limit int64 // of the length of a message

	numberBytes int   // missing of the number that is being read
	length      int64 // of the current message
	remaining   int64 // of the current message; 0 between messages
	atID        bool  // the next byte is the first one of an ID
	definition  bool  // the current message is a type definition

	messages int64 // whole ones
	whole    int64 // their memory, until it is taken
	types    int64 // bytes of type definitions
}

// held returns the memory of the current message and of all type definitions.
func (m *gobMeter) held() int64 {
	held := typeCost * m.types
	if m.remaining > 0 {
		held += messageCost * m.length
	}
	return held
}

// partial reports whether a message has begun and is incomplete.
func (m *gobMeter) partial() bool { return m.remaining > 0 || m.numberBytes > 0 }

// takeWhole returns the memory of the messages that have become whole since the last call.
func (m *gobMeter) takeWhole() int64 {
	whole := m.whole
	m.whole = 0
	return whole
}

// feed reads the next bytes and reports whether all messages are within the limits.
func (m *gobMeter) feed(p []byte) bool {
	for len(p) > 0 {
		switch {
		case m.remaining == 0:
			if !m.feedLength(p[0]) {
				return false
			}
			p = p[1:]
		case m.atID || m.numberBytes > 0:
			m.feedID(p[0])
			p = p[1:]
			m.remaining--
		default:
			n := min(m.remaining, int64(len(p)))
			m.remaining -= n
			p = p[n:]
		}
		if m.remaining == 0 && m.numberBytes == 0 && !m.endMessage() {
			return false
		}
	}
	return true
}

// feedLength reads a byte of a message's length and reports whether the length is within the limit.
func (m *gobMeter) feedLength(b byte) bool {
	switch {
	case m.numberBytes > 0:
		m.length = m.length<<8 | int64(b)
		m.numberBytes--
	case b <= maxSingleByte:
		m.length = int64(b)
	default:
		m.length, m.numberBytes = 0, -int(int8(b))
	}
	if m.length > m.limit || m.length < 0 || m.numberBytes > maxNumberBytes {
		return false
	}
	if m.numberBytes == 0 {
		m.remaining, m.atID, m.definition = m.length, true, false
	}
	return true
}

// feedID reads a byte of the ID of a message's type.
func (m *gobMeter) feedID(b byte) {
	if m.atID && b > maxSingleByte {
		m.atID, m.numberBytes = false, -int(int8(b))
		return
	}
	if !m.atID {
		m.numberBytes--
	}
	m.atID = false
	m.definition = b&1 == 1
}

// endMessage counts a whole message and reports whether there are not too many type definitions.
func (m *gobMeter) endMessage() bool {
	if m.definition {
		m.types += m.length
		return m.types <= maxTypeBytes
	}
	m.messages++
	m.whole += messageCost * m.length
	return true
}
