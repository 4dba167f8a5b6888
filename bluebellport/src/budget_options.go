package bbport

import (
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"bluebellport.example/shared/bbledger"
)

// BudgetOptions configure how budget shares are drawn and granted. The preset
// sets every value; the other options, where set, each override one of them.
type BudgetOptions struct {
	Preset       string
	Horizon      time.Duration // 0: the preset's
	GrantHorizon time.Duration // 0: the preset's
	ShareWait    time.Duration // 0: the preset's
	Borrow       string        // preset, yes or no
}

// budgetPreset is a policy together with the longest time that a request waits
// for a share.
type budgetPreset struct {
	policy       bbledger.Policy
	maxShareWait time.Duration
}

var budgetPresets = map[string]budgetPreset{
	"fjarrgrav": {
		policy:       bbledger.Policy{DrawHorizon: 10 * time.Second, UnwitnessedHorizon: 2 * time.Second, GrantHorizon: 2 * time.Second, Borrow: true},
		maxShareWait: 400 * time.Millisecond,
	},
	"hraunberg": {
		policy:       bbledger.Policy{DrawHorizon: 2 * time.Second, UnwitnessedHorizon: 500 * time.Millisecond, GrantHorizon: 500 * time.Millisecond},
		maxShareWait: 400 * time.Millisecond,
	},
}

// defaultBudgetPreset applies when the options name no known preset.
const defaultBudgetPreset = "fjarrgrav"

func (o *BudgetOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("preset", "Budget policy: fjarrgrav (fewer false refusals) or hraunberg (smaller stuck shares).").Envar("BLUEBELLPORT_PRESET").Default(defaultBudgetPreset).StringVar(&o.Preset)
	cmd.Flag("horizon", "How long a failure domain's draw of a budget should last; 0 takes the preset's.").Envar("BLUEBELLPORT_HORIZON").Default("0s").DurationVar(&o.Horizon)
	cmd.Flag("grant-horizon", "How long an instance's slice of a draw should last; 0 takes the preset's.").Envar("BLUEBELLPORT_GRANT_HORIZON").Default("0s").DurationVar(&o.GrantHorizon)
	cmd.Flag("share-wait", "Longest time that a request waits for a share; 0 takes the preset's.").Envar("BLUEBELLPORT_SHARE_WAIT").Default("0s").DurationVar(&o.ShareWait)
	cmd.Flag("borrow", "Ask other failure domains before refusing: yes, no or preset.").Envar("BLUEBELLPORT_BORROW").Default("preset").StringVar(&o.Borrow)
}

func (o *BudgetOptions) check() []string {
	var problems []string
	if _, ok := budgetPresets[o.Preset]; !ok {
		problems = append(problems, fmt.Sprintf("--preset: must be fjarrgrav or hraunberg, is %q", o.Preset))
	}
	for _, d := range []struct {
		flag string
		v    time.Duration
	}{{"--horizon", o.Horizon}, {"--grant-horizon", o.GrantHorizon}, {"--share-wait", o.ShareWait}} {
		if d.v < 0 {
			problems = append(problems, fmt.Sprintf("%s: must not be below 0, is %s", d.flag, d.v))
		}
	}
	switch o.Borrow {
	case "", "preset", "yes", "no":
	default:
		problems = append(problems, fmt.Sprintf("--borrow: must be yes, no or preset, is %q", o.Borrow))
	}
	if p := o.policy(); p.GrantHorizon > p.DrawHorizon {
		problems = append(problems, fmt.Sprintf("--grant-horizon: must not be above the horizon %s, is %s", p.DrawHorizon, p.GrantHorizon))
	}
	return problems
}

func (o *BudgetOptions) preset() budgetPreset {
	if p, ok := budgetPresets[o.Preset]; ok {
		return p
	}
	return budgetPresets[defaultBudgetPreset]
}

// policy returns the preset's policy with the overrides applied.
func (o *BudgetOptions) policy() bbledger.Policy {
	p := o.preset().policy
	if o.Horizon > 0 {
		p.DrawHorizon = o.Horizon
		p.UnwitnessedHorizon = min(p.UnwitnessedHorizon, o.Horizon)
	}
	if o.GrantHorizon > 0 {
		p.GrantHorizon = o.GrantHorizon
	}
	if o.Borrow == "yes" || o.Borrow == "no" {
		p.Borrow = o.Borrow == "yes"
	}
	return p
}

// maxShareWait returns the longest time that a request waits for a share.
func (o *BudgetOptions) maxShareWait() time.Duration {
	if o.ShareWait > 0 {
		return o.ShareWait
	}
	return o.preset().maxShareWait
}
