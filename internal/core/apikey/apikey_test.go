package apikey_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/apikey"
)

func TestNoKeyEqualsNothing(t *testing.T) {
	none, some := apikey.Of(""), apikey.Of("k")
	if none.Equal(none) || none.Equal(some) || some.Equal(none) || !some.Equal(apikey.Of("k")) || some.Equal(apikey.Of("l")) {
		t.Error("wrong result of Equal")
	}
}

func TestHexDigests(t *testing.T) {
	const ofAbc = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
	for text, want := range map[string]apikey.Digest{
		ofAbc: apikey.Of("abc"), strings.ToUpper(ofAbc): apikey.Of("abc"), "": {}, "zz": {}, ofAbc[2:]: {}, ofAbc + "00": {},
	} {
		if got := apikey.FromHex(text); got != want {
			t.Errorf("%q: wrong digest", text)
		}
	}
}

func TestDigestsAreNotPrinted(t *testing.T) {
	digest := apikey.Of("abc")
	for _, verb := range []string{"%v", "%s", "%+v"} {
		if printed := fmt.Sprintf(verb, digest); printed != "key" {
			t.Errorf("%s: %q", verb, printed)
		}
	}
}
