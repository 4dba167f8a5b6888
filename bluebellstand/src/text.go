package bbstand

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary are what answers are made of.
var vocabulary = strings.Fields("street permit crew trench closure copy counter school month reading heat pipe till page desk map sign draft order date block line north south")

// tokensMarker, before a number in a prompt, sets how many tokens the answer has.
const tokensMarker = "--tokens"

// nameMarker, before a word in a prompt, names the request in what an engine
// records, whatever ids it had on its way.
const nameMarker = "--name"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptTokens returns how many tokens the messages count for.
func PromptTokens(messages []Message) int {
	n := 0
	for _, m := range messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// AnswerTokens returns the whole answer to the messages, token by token: a
// function of model and messages alone. usual is its length when the last
// message has no "--tokens N".
func AnswerTokens(model string, messages []Message, defaultLength int) []string {
	key := model
	n := defaultLength
	for _, m := range messages {
		key += "\x00" + m.Role + "\x00" + m.Content
		n = answerLength(m.Content, n)
	}
	tokens := make([]string, n)
	for i := range tokens {
		h := xxhash.Sum64String(key + "\x00" + strconv.Itoa(i))
		tokens[i] = vocabulary[h%uint64(len(vocabulary))] + strconv.FormatUint(h>>32%1000, 10)
		if i > 0 {
			tokens[i] = " " + tokens[i]
		}
	}
	return tokens
}

// AnswerText returns the answer to the messages, cut after most tokens when
// most is above 0.
func AnswerText(model string, messages []Message, defaultLength, limit int) string {
	tokens := AnswerTokens(model, messages, defaultLength)
	if limit > 0 && limit < len(tokens) {
		tokens = tokens[:limit]
	}
	return strings.Join(tokens, "")
}

func answerLength(text string, defaultLength int) int {
	if n, err := strconv.Atoi(wordAfter(text, tokensMarker, "")); err == nil && n > 0 {
		return n
	}
	return defaultLength
}

// wordAfter returns the word that follows mark in the text, or none.
func wordAfter(text, marker, fallback string) string {
	fields := strings.Fields(text)
	for i := 0; i+1 < len(fields); i++ {
		if fields[i] == marker {
			return fields[i+1]
		}
	}
	return fallback
}

// remainingTokens returns the tokens that follow a partial answer, and false when the
// partial answer is not how the answer begins. A token cut in two goes on with
// its rest.
func remainingTokens(tokens []string, partial string) ([]string, bool) {
	for i, t := range tokens {
		if len(partial) < len(t) {
			if !strings.HasPrefix(t, partial) {
				return nil, false
			}
			return append([]string{t[len(partial):]}, tokens[i+1:]...), true
		}
		if !strings.HasPrefix(partial, t) {
			return nil, false
		}
		partial = partial[len(t):]
	}
	return nil, partial == ""
}
