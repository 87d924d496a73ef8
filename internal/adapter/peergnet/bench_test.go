package peergnet

import "testing"

func BenchmarkEncode(b *testing.B) {
	c, m := testCodec(b, testSecret), testMessage()
	for b.Loop() {
		if _, err := c.encode(m, testTime); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	c := testCodec(b, testSecret)
	datagram, err := c.encode(testMessage(), testTime)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(datagram)))
	for b.Loop() {
		if _, err := c.decode(datagram, testTime); err != nil {
			b.Fatal(err)
		}
	}
}
