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

// The secret must not appear in any printed, encoded or logged form of a key,
// nor of a value that holds one in an unexported field.
func TestSecretIsNeverShown(t *testing.T) {
	k, secret := newKey(t)
	type holder struct{ k Key }
	type public struct{ K Key }
	var shown []string
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d", "%T"} {
		shown = append(shown, fmt.Sprintf(verb, k), fmt.Sprintf(verb, &k), fmt.Sprintf(verb, holder{k}), fmt.Sprintf(verb, &holder{k}))
	}
	for _, v := range []any{k, &k, public{k}, map[string]Key{"a": k}, []Key{k}} {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		shown = append(shown, string(b))
	}
	var log bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&log), zap.DebugLevel)
	zap.New(core).Info("key", zap.Any("a", k), zap.Stringer("b", k), zap.Reflect("c", public{k}))
	shown = append(shown, log.String())
	hexSecret := fmt.Sprintf("%x", secret)
	for _, s := range shown {
		if strings.Contains(s, secret) || strings.Contains(s, hexSecret) {
			t.Errorf("secret is shown in %q", s)
		}
	}
	if !strings.Contains(log.String(), k.ID()) {
		t.Errorf("log %q does not name the key", log.String())
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
			t.Errorf("%q came back as %q", c.text, got.Reveal())
		}
	}
}

func TestMatches(t *testing.T) {
	k, _ := newKey(t)
	other, _ := Parse("ap_" + k.ID() + "_other")
	if !k.Matches(k.Sum()) || other.Matches(k.Sum()) || (Key{}).Matches((Key{}).Sum()) {
		t.Fatal("a key matches a hash that is not its own, or not its own hash")
	}
	if _, err := Generate(strings.NewReader("short")); err == nil {
		t.Fatal("a key was generated without enough randomness")
	}
}
