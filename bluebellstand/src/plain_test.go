package bbstand

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPlainRecordsEachRun(t *testing.T) {
	is := is.New(t)
	url := startStandIn(t, newPlainService(PlainOptions{Slots: 1}).mount)
	_, _, body := sendRequest(t, "GET", url+"/closures/7?x=1", "r1", "")
	var a PlainAnswer
	is.NoErr(json.Unmarshal([]byte(body), &a))
	is.Equal(a, NewPlainAnswer("GET", "/closures/7?x=1", nil, 0))
	for i := 1; i <= 2; i++ {
		_, _, body = sendRequest(t, "POST", url+"/closures", "w1", "road")
		is.NoErr(json.Unmarshal([]byte(body), &a))
		is.Equal(a, NewPlainAnswer("POST", "/closures", []byte("road"), i))
	}
	var ran []PlainExecution
	_, _, body = sendRequest(t, "GET", url+"/admin/ran", "", "")
	is.NoErr(json.Unmarshal([]byte(body), &ran))
	is.Equal(len(ran), 3)
	is.Equal(ran[2].Request, "w1")
	is.Equal(ran[2].State, stateDone)
}

func TestPlainFaults(t *testing.T) {
	is := is.New(t)
	url := startStandIn(t, newPlainService(PlainOptions{Slots: 1}).mount)
	fault := func(f string) {
		status, _, _ := sendRequest(t, "POST", url+"/admin/fault", "", f)
		is.Equal(status, 200)
	}
	fault(`{"lose":1}`)
	_, err := http.Post(url+"/closures", "", strings.NewReader("road"))
	is.True(err != nil)
	_, _, body := sendRequest(t, "GET", url+"/admin/ran", "", "")
	is.True(strings.Contains(body, `"run":1,"state":"done"`)) // it ran all the same
	fault(`{"fail":1}`)
	status, _, _ := sendRequest(t, "POST", url+"/closures", "", "road")
	is.Equal(status, 500)
	fault(`{"leaving":true}`)
	status, h, _ := sendRequest(t, "GET", url+"/closures", "", "")
	is.Equal(status, 503)
	is.Equal(h.Get(headerLeaving), "1")
	status, _, _ = sendRequest(t, "POST", url+"/admin/fault", "", `{"bogus":1}`)
	is.Equal(status, 400)
}

func TestListLag(t *testing.T) {
	is := is.New(t)
	var l instanceList
	t0 := time.Unix(10, 0)
	l.addChange(Instance{ID: "b", State: stateLive}, false, t0)
	l.addChange(Instance{ID: "a", State: stateLive}, false, t0)
	l.addChange(Instance{ID: "a", State: stateLeaving}, false, t0.Add(time.Second))
	l.addChange(Instance{ID: "b"}, true, t0.Add(time.Second))
	is.Equal(len(l.listAt(t0.Add(-1))), 0)
	old := l.listAt(t0)
	is.Equal(old[0].ID+old[1].ID, "ab")
	now := l.listAt(t0.Add(time.Second))
	is.Equal(len(now), 1)
	is.Equal(now[0].State, stateLeaving)
}

func TestListRefusesBadInstances(t *testing.T) {
	o := ListOptions{}
	url := startStandIn(t, o.standIn().mount)
	for body, want := range map[string]string{
		`{"domain":"d","address":"a:1"}`:                       "id",
		`{"id":"i","address":"a:1"}`:                           "domain",
		`{"id":"i","domain":"d","address":"a"}`:                "address",
		`{"id":"i","domain":"d","address":"a:1","state":"up"}`: "state",
		`{"bogus":1}`: "bogus",
	} {
		is := is.New(t)
		status, _, answer := sendRequest(t, "POST", url+"/v1/instances", "", body)
		is.Equal(status, 400)
		is.True(strings.Contains(answer, want))
	}
	_, _, body := sendRequest(t, "GET", url+"/v1/instances", "", "")
	is.New(t).Equal(body, "[]")
}
