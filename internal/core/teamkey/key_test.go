package teamkey

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func newKey(t *testing.T) (Key, string) {
	t.Helper()
	k, err := Generate(bytes.NewReader(bytes.Repeat([]byte{0x5a, 0x13}, 32)))
	if err != nil {
		t.Fatal(err)
	}
	return k, strings.Split(k.Reveal(), "_")[2]
}

// Guards against a secret in the printed, encoded or logged form of a key, or of a value that
// holds a key, also in an unexported field.
func TestSecretIsRedactedInAllOutputs(t *testing.T) {
	k, secret := newKey(t)
	type holder struct{ k Key }
	type public struct{ K Key }
	var outputs []string
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d", "%T"} {
		outputs = append(outputs, fmt.Sprintf(verb, k), fmt.Sprintf(verb, &k), fmt.Sprintf(verb, holder{k}), fmt.Sprintf(verb, &holder{k}))
	}
	for _, v := range []any{k, &k, public{k}, map[string]Key{"a": k}, []Key{k}} {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		outputs = append(outputs, string(b))
	}
	var log bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&log), zap.DebugLevel)
	zap.New(core).Info("key", zap.Any("a", k), zap.Stringer("b", k), zap.Reflect("c", public{k}))
	outputs = append(outputs, log.String())
	hexSecret := fmt.Sprintf("%x", secret)
	for _, s := range outputs {
		if strings.Contains(s, secret) || strings.Contains(s, hexSecret) {
			t.Errorf("%q contains the secret", s)
		}
	}
	if !strings.Contains(log.String(), k.ID()) {
		t.Errorf("log %q does not contain the ID of the key", log.String())
	}
}

func TestParse(t *testing.T) {
	k, _ := newKey(t)
	cases := []struct {
		text string
		ok   bool
	}{
		{k.Reveal(), true},
		{"ap_a_b", true},
		{"", false}, {"ap_", false}, {"ap_a", false}, {"ap_a_", false}, {"ap__b", false},
		{"ap_a_b_c", false}, {"xx_a_b", false}, {"ap_A_b", false}, {"ap_a_b\n", false},
		{"ap_a_" + strings.Repeat("b", 65), false},
	}
	for _, c := range cases {
		got, err := Parse(c.text)
		if (err == nil) != c.ok {
			t.Errorf("%q: error %v", c.text, err)
			continue
		}
		if c.ok && got.Reveal() != c.text {
			t.Errorf("%q was parsed and printed as %q", c.text, got.Reveal())
		}
	}
}

func TestMatches(t *testing.T) {
	k, _ := newKey(t)
	other, _ := Parse("ap_" + k.ID() + "_other")
	if !k.Matches(k.Sum()) || other.Matches(k.Sum()) || (Key{}).Matches((Key{}).Sum()) {
		t.Fatal("a key matches the hash of another key or the zero key, or doesn't match its own hash")
	}
	if _, err := Generate(strings.NewReader("short")); err == nil {
		t.Fatal("Generate returned a key although the random source was too short")
	}
}
