package requestplane

import "sync"

// copyBufferBytes is the buffer memory used per response in flight, whatever its length.
const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

func getBuffer() *[]byte { return buffers.Get().(*[]byte) }

func putBuffer(b *[]byte) { buffers.Put(b) }
