package strictjson_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotwing.example/strictjson"
)

type inner struct {
	Count int      `json:"count"`
	Names []string `json:"names"`
}

type outer struct {
	On     bool             `json:"on"`
	Inner  inner            `json:"inner"`
	ByName map[string]inner `json:"byName"`
	Maybe  *inner           `json:"maybe,omitempty"`
	Share  float64          `json:"share"`
}

func TestTextOverridesOnlyTheKeysItContains(t *testing.T) {
	got := outer{Share: 0.5, Inner: inner{Count: 3}}
	_, problems := strictjson.Decode([]byte(`{
		// comments and trailing commas are fine
		"on": true, "inner": {"names": ["a", "b",]}, "byName": {"x": {"count": 1}}, "maybe": {"count": 2},
	}`), &got)
	want := outer{
		On: true, Share: 0.5, Inner: inner{Count: 3, Names: []string{"a", "b"}},
		ByName: map[string]inner{"x": {Count: 1}}, Maybe: &inner{Count: 2},
	}
	if diff := cmp.Diff(want, got); diff != "" || len(problems) > 0 {
		t.Error(diff, problems)
	}
}

func TestEveryProblemIsReportedWithLineKeyAndValue(t *testing.T) {
	var got outer
	_, problems := strictjson.Decode([]byte(`{
		"on": "yes",
		"Inner": {},
		"inner": {"count": 1.5,
			"names": ["a", 7]},
		"inner": {},
		"byName": {"x": {"cuont": 1}},
		"maybe": null,
		"share": []
	}`), &got)
	want := []strictjson.Problem{
		{Line: 2, Key: "on", Value: `"yes"`, Detail: "must be true or false"},
		{Line: 3, Key: "Inner", Detail: "unknown key"},
		{Line: 4, Key: "inner.count", Value: "1.5", Detail: "must be a whole number"},
		{Line: 5, Key: "inner.names[1]", Value: "7", Detail: "must be text in quotes"},
		{Line: 6, Key: "inner", Detail: "the key is set twice"},
		{Line: 7, Key: "byName.x.cuont", Detail: "unknown key"},
		{Line: 8, Key: "maybe", Value: "null", Detail: "must be an object in braces"},
		{Line: 9, Key: "share", Detail: "must be a number"},
	}
	if diff := cmp.Diff(want, problems); diff != "" {
		t.Error(diff)
	}
}

func TestAbsentKeyHasTheLineOfTheNearestEnclosingKey(t *testing.T) {
	var got outer
	doc, _ := strictjson.Decode([]byte("// file\n{\n\"inner\": {}}"), &got)
	for key, line := range map[string]int{"inner.names[0]": 3, "byName.x": 2} {
		if p := doc.Problem(key, "x"); p.Line != line {
			t.Errorf("%s: line %d, want %d", key, p.Line, line)
		}
	}
}

func TestBrokenTextsAreRefusedWithALine(t *testing.T) {
	for name, text := range map[string]string{
		"syntax":   "\n{\"on\" true}",
		"deep":     "\n" + strings.Repeat("[", 1000),
		"no text":  "\n",
		"too long": "{}" + strings.Repeat(" ", strictjson.MaxBytes),
	} {
		var got outer
		_, problems := strictjson.Decode([]byte(text), &got)
		if len(problems) != 1 || problems[0].Line < 1 || problems[0].Detail == "" {
			t.Errorf("%s: %v", name, problems)
		}
	}
}
