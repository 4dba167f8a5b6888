package bbe2e

import (
	"fmt"
	"strings"

	bbstand "bluebellport.example/bluebellstand/src"
)

// auditSummary is one row of the table that TestFaults prints.
type auditSummary struct {
	requests, done, refused, lost int
	cut, wrong                    int
	overspend                     int64
	falseRefusals                 int
	billedTwice, notBilled        int
	listedUnknown                 int // answered, without a bill, and recorded with an unknown outcome or an open claim
	ranTwice, wronglyNotRun       int
	billed, settled, stuck        int64
	stuckLater                    int64 // stuck after another stuckRecheckDelay; -1 if not read
}

const summaryHeader = "| fault | requests | done | refused | lost | cut | wrong | overspend | false refusals | billed twice | not billed | listed | ran twice | wrongly told not-run | billed | settled | stuck | stuck 10 s later |"

func (s auditSummary) tableRow(name string) string {
	later := "-"
	if s.stuckLater >= 0 {
		later = fmt.Sprint(s.stuckLater)
	}
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %s |", name,
		s.requests, s.done, s.refused, s.lost, s.cut, s.wrong, s.overspend, s.falseRefusals,
		s.billedTwice, s.notBilled, s.listedUnknown, s.ranTwice, s.wronglyNotRun, s.billed, s.settled, s.stuck, later)
}

// violations returns the columns that must be zero but are not, with their
// values.
func (s auditSummary) violations() string {
	var bad []string
	for _, c := range []struct {
		name string
		n    int64
	}{
		{"wrong answers", int64(s.wrong)},
		{"overspend", s.overspend},
		{"billed twice", int64(s.billedTwice)},
		{"not billed", int64(s.notBilled)},
		{"ran twice", int64(s.ranTwice)},
		{"wrongly told not-run", int64(s.wronglyNotRun)},
	} {
		if c.n != 0 {
			bad = append(bad, fmt.Sprintf("%s: %d", c.name, c.n))
		}
	}
	return strings.Join(bad, ", ")
}

// summarize counts the results and collects the findings.
func (a *audit) summarize() auditSummary {
	summary := auditSummary{requests: len(a.results), stuckLater: -1}
	summary.listedUnknown, summary.notBilled = a.unbilled()
	for i := range a.results {
		a.countResult(&a.results[i], &summary)
	}
	for _, bills := range a.bills {
		if len(bills) > 1 {
			summary.billedTwice++
		}
		for _, r := range bills {
			summary.billed += r.Amount
		}
	}
	a.checkBudgets(&summary)
	a.reportUnbilled()
	return summary
}

// reportUnbilled adds a finding for each answered request without a bill.
func (a *audit) reportUnbilled() {
	for i := range a.results {
		if r := &a.results[i]; r.Outcome == "done" && len(a.bills[a.key(r)]) == 0 {
			a.findings = append(a.findings, fmt.Sprintf("%s (%s) is not billed; scheduled at %d, answered after %s, ran %v, record: %s; %s",
				r.ID, r.Kind, r.Start, r.Total, a.executions[r.ID], a.otherRecords[a.key(r)], strings.Join(r.AttemptErrors, "; ")))
		}
	}
}

// countResult counts one result, and adds findings for writes that ran twice
// and for false not-run answers.
func (a *audit) countResult(result *bbstand.LoadResult, summary *auditSummary) {
	switch {
	case result.Truncated:
		summary.cut++
	case result.Outcome == "lost":
		summary.lost++
	case result.Outcome == "done":
		summary.done++
	default:
		summary.refused++
	}
	if result.Wrong {
		summary.wrong++
	}
	writes := 0
	for _, run := range a.executions[result.ID] {
		if run.isWrite {
			writes++
		}
	}
	if writes > 1 {
		summary.ranTwice++
		a.findings = append(a.findings, fmt.Sprintf("%s ran %v: %s", result.ID, a.executions[result.ID], strings.Join(result.AttemptErrors, "; ")))
	}
	for _, notRunAt := range result.NotRunAt {
		if a.ranBy(result.ID, notRunAt) {
			summary.wronglyNotRun++
			a.findings = append(a.findings, fmt.Sprintf("%s (%s) ran %v and was told not-run at %v: %s", result.ID, result.Kind, a.executions[result.ID], result.NotRunAt, strings.Join(result.AttemptErrors, "; ")))
			break
		}
	}
}

// checkBudgets compares each account's prepaid tokens with the cost of its
// answers and with its bills, and counts refusals for an exhausted budget
// (status 402) while the budget could still pay for the request.
func (a *audit) checkBudgets(summary *auditSummary) {
	for accountIndex, account := range a.accounts {
		summary.overspend += max(0, max(a.answeredCost(accountIndex), a.billedAmount(account))-int64(account.prepaid))
		for i := range a.results {
			if r := &a.results[i]; r.KeyIndex == accountIndex && r.Status == 402 && int64(account.prepaid)-a.answeredCostUntil(accountIndex, r.Start+r.Total.Milliseconds()) >= maxCost(r) {
				summary.falseRefusals++
			}
		}
	}
}
