package bbctl

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// cause explains in one sentence why the request ended as it did, judging from
// its last two steps.
func (t *timeline) cause() string {
	last := t.Steps[len(t.Steps)-1]
	switch last.Line.Msg {
	case "refused":
		reason := explainRefusal(&last)
		if previous := len(t.Steps) - 2; previous >= 0 && t.Steps[previous].Line.Msg == "attempt failed" {
			reason += "; " + explainFailure(&t.Steps[previous].Line)
		}
		return reason
	case "attempt failed":
		return explainFailure(&last.Line)
	case "request cut":
		return fmt.Sprintf("the instance stopped %s after the request came; target %q had not answered whole", milliseconds(last.Line.number("ms")), last.Line.text("target"))
	case "served":
		return fmt.Sprintf("answered by target %s after %.0f ms and %.0f sends", last.Line.text("target"), last.Line.number("ms"), last.Line.number("sends"))
	}
	return last.Line.Msg
}

// explainRefusal explains why the instance refused a request.
func explainRefusal(s *step) string {
	l := &s.Line
	balanceAge := ""
	if age := l.number("age"); age > 0 {
		balanceAge = fmt.Sprintf(", known %s before", milliseconds(age))
	}
	_, isBudgetRefusal := l.Fields["account"]
	storeLost, isStoreLost := s.findStateLine("store-lost")
	if crashes := strings.Join(l.crashes(), ", "); crashes != "" {
		if part := l.text("part"); part != "" {
			return fmt.Sprintf("part %q of the prompt crashes targets: %s", part, crashes)
		}
		return "the request crashes its targets: " + crashes
	}
	if l.text("decided") != "" {
		return explainStop(l)
	}
	switch status := int(l.number("status")); {
	case isBudgetRefusal && status == http.StatusPaymentRequired:
		return fmt.Sprintf("the balance of account %s does not cover %.0f tokens: %.0f here, %.0f free, %.0f at other instances%s",
			l.text("account"), l.number("tokens"), l.number("here"), l.number("free"), l.number("others"), balanceAge)
	case isBudgetRefusal && isStoreLost:
		return fmt.Sprintf("the instance had lost the store %s before, and its share of account %s, %.0f tokens, does not cover %.0f",
			l.Time.Sub(storeLost.Time), l.text("account"), l.number("here"), l.number("tokens"))
	case isBudgetRefusal:
		return fmt.Sprintf("no share of account %s covers %.0f tokens: %.0f here, %.0f free, %.0f at other instances%s",
			l.text("account"), l.number("tokens"), l.number("here"), l.number("free"), l.number("others"), balanceAge)
	case status == http.StatusNotFound || status == http.StatusUnauthorized:
		if plan, ok := s.findStateLine("plan"); ok {
			return fmt.Sprintf("%s in plan %.0f, in force there for %s", l.text("reason"), plan.number("version"), l.Time.Sub(plan.Time))
		}
	}
	return l.text("reason")
}

// explainStop explains why an instance refused a request as it stopped.
func explainStop(l *logLine) string {
	since := milliseconds(l.number("since"))
	switch l.text("decided") {
	case "ended", "over":
		return fmt.Sprintf("%s: it stopped %s after the order to, %s after the request came", l.text("reason"), since, milliseconds(l.number("read")))
	case "too-uncertain":
		return fmt.Sprintf("%s: %s after the order to stop, %s before its end, nothing was known of how long requests of route %s take",
			l.text("reason"), since, milliseconds(l.number("left")), l.text("route"))
	case "too-late":
		return fmt.Sprintf("%s: it came late, %s after the order to stop, and might have taken %s, with %s left",
			l.text("reason"), since, milliseconds(l.number("limit")), milliseconds(l.number("left")))
	}
	return fmt.Sprintf("%s: %s after the order to stop, %s before its end, it was expected to take %s, by %.0f requests of route %s that ended and %.0f open ones",
		l.text("reason"), since, milliseconds(l.number("left")), milliseconds(l.number("expected")), l.number("samples"), l.text("route"), l.number("open"))
}

// crashes describes the crashes that a refusal names.
func (l *logLine) crashes() []string {
	list, _ := l.Fields["crashed"].([]any)
	var out []string
	for _, entry := range list {
		fields, _ := entry.(map[string]any)
		crash := logLine{Fields: fields}
		out = append(out, fmt.Sprintf("%s %s before, told by %s", crash.text("target"), milliseconds(crash.number("age")), crash.text("instance")))
	}
	return out
}

// explainFailure explains why an attempt at a target got no answer.
func explainFailure(l *logLine) string {
	reason := l.text("error")
	if reason != "" {
		reason = ": " + reason
	}
	target, elapsed := l.text("target"), milliseconds(l.number("ms"))
	switch l.text("end") {
	case "unsent":
		return fmt.Sprintf("target %s could not be reached; nothing was sent%s", target, reason)
	case "not-run":
		return fmt.Sprintf("target %s says that it did not run the request%s", target, reason)
	case "late":
		return fmt.Sprintf("the time was over %s after the request came, at target %s%s", elapsed, target, reason)
	}
	return fmt.Sprintf("target %s gave no usable answer, %s after the request came; it may have run%s", target, elapsed, reason)
}

func milliseconds(n float64) time.Duration { return time.Duration(n) * time.Millisecond }
