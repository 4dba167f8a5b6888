package bbmember

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
)

func TestRankMovesOnlyKeysOfLostMember(t *testing.T) {
	is := is.New(t)
	v := &View{}
	for i := range 8 {
		v.Members = append(v.Members, Member{
			ID:     bbunit.InstanceID(fmt.Sprintf("i%d", i)),
			Domain: bbunit.DomainID(fmt.Sprintf("d%d", i%2)),
		})
	}
	smaller := &View{Members: v.Members[1:]}
	for k := range 200 {
		key := fmt.Sprintf("k%d", k)
		was, ok := v.Home(key, "")
		is.True(ok)
		now, _ := smaller.Home(key, "")
		if was.ID != "i0" {
			is.Equal(was.ID, now.ID) // only keys of the removed member move
		}
		in, ok := v.Home(key, "d1")
		is.True(ok)
		is.Equal(in.Domain, bbunit.DomainID("d1"))
	}
	_, ok := v.Home("k", "d9")
	is.True(!ok)
}
