package net

import "sync"

// memoryLimit bounds the total memory of what clients send: of the rings of many connections beyond their
// free size, and of large requests that are being answered. It keeps released buffers for reuse, within the
// limit: rings grow and shrink with each large request, and as garbage they would outrun the collector. A
// nil memoryLimit has no limit and keeps nothing.
type memoryLimit struct {
	mu    sync.Mutex // guards all below
	size  int64
	used  int64
	kept  int64
	spare map[int][][]byte // kept buffers by size
}

// setSize changes the limit. What is in use beyond a lower limit stays valid until it is released.
func (m *memoryLimit) setSize(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.size = n
	m.trim()
}

// inUse returns how many bytes are reserved.
func (m *memoryLimit) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reserve reserves n bytes, and returns false if there are fewer.
func (m *memoryLimit) reserve(n int) bool {
	if m == nil || n <= 0 {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+int64(n) > m.size {
		return false
	}
	m.used += int64(n)
	m.trim()
	return true
}

// release releases n reserved bytes.
func (m *memoryLimit) release(n int) {
	if m == nil || n <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= int64(n)
}

// buffer returns a buffer of a size. Its contents are undefined.
func (m *memoryLimit) buffer(size int) []byte {
	if m == nil || size <= freeRingSize {
		return make([]byte, size)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	spare := m.spare[size]
	if len(spare) == 0 {
		return make([]byte, size)
	}
	last := len(spare) - 1
	b := spare[last]
	spare[last] = nil
	m.spare[size] = spare[:last]
	m.kept -= int64(size)
	return b
}

// reuse keeps a buffer that nobody uses any more, if the limit allows it.
func (m *memoryLimit) reuse(b []byte) {
	if m == nil || len(b) <= freeRingSize {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+m.kept+int64(len(b)) > m.size {
		return
	}
	if m.spare == nil {
		m.spare = map[int][][]byte{}
	}
	m.spare[len(b)] = append(m.spare[len(b)], b)
	m.kept += int64(len(b))
}

// trim drops kept buffers that the limit does not allow beside what is in use. The caller holds mu.
func (m *memoryLimit) trim() {
	for size, spare := range m.spare {
		for len(spare) > 0 && m.used+m.kept > m.size {
			last := len(spare) - 1
			spare[last] = nil
			spare = spare[:last]
			m.kept -= int64(size)
		}
		m.spare[size] = spare
	}
}
