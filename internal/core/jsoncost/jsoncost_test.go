package jsoncost_test

import (
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/jsoncost"
)

func TestCostOfText(t *testing.T) {
	costs := jsoncost.Costs{Element: []int64{1, 10, 100}, Member: []int64{0, 0, 0, 1000}}
	for name, row := range map[string]struct {
		text string
		want int64
	}{
		"empty":                      {``, 0},
		"scalar":                     {`7`, 0},
		"array":                      {`[1,2,3]`, 3},
		"array in an object":         {`{"a":[1,2,3]}`, 30},
		"objects in an array":        {`{"a":[{},{}]}`, 20},
		"empty values":               {`{"a":[ ],"b":[{ },{"m":{}}]}`, 20},
		"nested array":               {`{"a":[[1,2]]}`, 210},
		"deeper than the list":       {`{"a":[[[[1,2]]]]}`, 10 + 100 + 100 + 200},
		"members of a struct":        {`{"a":1,"b":2,"c":3}`, 0},
		"members of a map":           {`{"a":[{"m":{"x":1,"y":2}}]}`, 10 + 2000},
		"separators in a text":       {`["a,b","[{,","\",\\",1]`, 4},
		"unfinished":                 {`[1,2`, 2},
		"closing without an opening": {`]]}[1,2]`, 2},
		"very deep":                  {strings.Repeat("[", 100) + "1,2", 1 + 10 + 98*100 + 1000},
	} {
		if got := costs.Of([]byte(row.text)); got != row.want {
			t.Errorf("%s: cost %d, want %d", name, got, row.want)
		}
	}
	costs.Transient = 7
	for text, want := range map[string]int64{
		`{"a":[{"m":{"x":1,"y":2}},{"m":{"x":1}}]}`: 20 + 3000 + 2*7,
		`{"a":[1,2,3]}`: 30,
	} {
		if got := costs.Of([]byte(text)); got != want {
			t.Errorf("%s: cost %d, want %d", text, got, want)
		}
	}
	if got := (&jsoncost.Costs{Text: 3}).Of([]byte(`"1234"`)); got != 18 {
		t.Errorf("three copies of 6 bytes cost %d", got)
	}
}
