package bbport

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestBudgetOptionsNameBadValues(t *testing.T) {
	for _, c := range []struct {
		name     string
		opts     BudgetOptions
		problems []string
	}{
		{"preset", BudgetOptions{Preset: "fjarrgrav"}, nil},
		{"other preset", BudgetOptions{Preset: "hraunberg", Borrow: "yes"}, nil},
		{"unknown preset", BudgetOptions{Preset: "x"}, []string{`--preset: must be fjarrgrav or hraunberg, is "x"`}},
		{"negative", BudgetOptions{Preset: "hraunberg", Horizon: -time.Second, ShareWait: -1}, []string{"--horizon: must not be below 0, is -1s", "--share-wait: must not be below 0, is -1ns"}},
		{"grant above horizon", BudgetOptions{Preset: "hraunberg", GrantHorizon: time.Minute}, []string{"--grant-horizon: must not be above the horizon 2s, is 1m0s"}},
		{"borrow", BudgetOptions{Preset: "hraunberg", Borrow: "maybe"}, []string{`--borrow: must be yes, no or preset, is "maybe"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Join(c.opts.check(), "\n"), strings.Join(c.problems, "\n"))
		})
	}
}

func TestBudgetOptionsOverrideThePreset(t *testing.T) {
	is := is.New(t)
	o := BudgetOptions{Preset: "hraunberg", Horizon: time.Second, GrantHorizon: 100 * time.Millisecond, ShareWait: time.Second, Borrow: "yes"}
	p := o.policy()
	is.Equal(p.DrawHorizon, time.Second)
	is.Equal(p.GrantHorizon, 100*time.Millisecond)
	is.True(p.Borrow)
	is.Equal(o.maxShareWait(), time.Second)
	o = BudgetOptions{Preset: "fjarrgrav", Borrow: "no"}
	is.True(!o.policy().Borrow)
	is.Equal(o.policy().DrawHorizon, 10*time.Second)
}
