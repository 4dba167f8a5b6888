package bbproxy

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/platform"
)

// TestSharedPartsLeaveOutTheLastAndMalformedOnes lists which parts of a prompt can
// be refused for crashes.
func TestSharedPartsLeaveOutTheLastAndMalformedOnes(t *testing.T) {
	for text, want := range map[string]string{
		"":                           "",
		"a:1":                        "",
		"a:1,b:2":                    "a",
		"a:1,b:2,c:3":                "a b",
		"a:1, b:2 ,c:3,":             "a b",
		"a:1,a:1,b:2,a:1":            "a a b",
		"a:1,b,:4,c:x,d:-1,e:2,f:3":  "a e",
		strings.Repeat("a:1,", 2000): strings.TrimSpace(strings.Repeat("a ", 1999)),
	} {
		is := is.New(t)
		r := &Request{Fields: Fields{{Name: bbplatform.HeaderPromptParts, Value: text}}}
		var got []string
		for _, p := range r.SharedParts() {
			got = append(got, p.ID)
		}
		is.Equal(strings.Join(got, " "), want)
	}
}

func TestPartIsNoRequestWithTheSameText(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 1000)
	is.True(bbcrash.NewPart(long).Fingerprint != bbcrash.NewPart(long+"y").Fingerprint)
	is.True(len(bbcrash.NewPart(long).ID) < 100)
	is.True(utf8.ValidString(bbcrash.NewPart("a\xff" + strings.Repeat("é", 100)).ID)) // as messages need it
}

// BenchmarkSharedParts measures the reading of four parts of a prompt.
func BenchmarkSharedParts(b *testing.B) {
	r := &Request{Fields: Fields{{Name: bbplatform.HeaderPromptParts, Value: "5c1e07a2:800,91bd3f06:410,e4402b7d:250,0a1b2c3d:90"}}}
	b.ReportAllocs()
	for b.Loop() {
		r.SharedParts()
	}
}
