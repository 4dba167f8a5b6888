package bbconfirm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDueIn(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1e9, 0)
	n := &Newest{}
	_, ok := n.Age(begin)
	is.True(!ok)
	is.True(n.DueIn(begin, 0) <= 0) // nobody was ever answered
	n.Confirm(begin)
	n.Confirm(begin.Add(-time.Second)) // older: changes nothing
	is.Equal(n.DueIn(begin, 0), lookAge)
	is.Equal(n.DueIn(begin.Add(lookAge), 0), time.Duration(0))
	is.Equal(n.DueIn(begin.Add(lookAge), 2), 2*turnStep)
	is.Equal(n.DueIn(begin, maxTurn), n.DueIn(begin, 100))
}
