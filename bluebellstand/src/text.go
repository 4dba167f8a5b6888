package bbstand

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words that answers are made of.
var vocabulary = strings.Fields("street permit crew trench closure copy counter school month reading heat pipe till page desk map sign draft order date block line north south")

// tokensMarker before a number in a prompt sets the length of the answer in
// tokens.
const tokensMarker = "--tokens"

// nameMarker before a word in a prompt sets the request's name in an engine's
// records. It identifies the request whatever ids it is given on its way.
const nameMarker = "--name"

// Message is a message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptTokens returns the number of tokens of the messages: one per word.
func PromptTokens(messages []Message) int {
	n := 0
	for _, m := range messages {
		n += len(strings.Fields(m.Content))
	}
	return n
}

// AnswerTokens returns the tokens of the whole answer to the messages. They
// depend on the model and the messages alone, so that every caller can check an
// answer. defaultLength is their number if no message has "--tokens N".
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

// AnswerText returns the answer to the messages, cut after limit tokens if
// limit is above 0.
func AnswerText(model string, messages []Message, defaultLength, limit int) string {
	tokens := AnswerTokens(model, messages, defaultLength)
	if limit > 0 && limit < len(tokens) {
		tokens = tokens[:limit]
	}
	return strings.Join(tokens, "")
}

// answerLength returns the number after "--tokens" in the text, or
// defaultLength if there is none above 0.
func answerLength(text string, defaultLength int) int {
	if n, err := strconv.Atoi(wordAfter(text, tokensMarker, "")); err == nil && n > 0 {
		return n
	}
	return defaultLength
}

// wordAfter returns the word that follows the first marker in the text, or
// fallback if there is none.
func wordAfter(text, marker, fallback string) string {
	fields := strings.Fields(text)
	for i := 0; i+1 < len(fields); i++ {
		if fields[i] == marker {
			return fields[i+1]
		}
	}
	return fallback
}

// remainingTokens returns the tokens that follow a partial answer. If that ends
// within a token, the rest of the token comes first. It returns false if the
// answer does not begin with the partial answer.
func remainingTokens(tokens []string, partial string) ([]string, bool) {
	for i, token := range tokens {
		if len(partial) < len(token) {
			if !strings.HasPrefix(token, partial) {
				return nil, false
			}
			return append([]string{token[len(partial):]}, tokens[i+1:]...), true
		}
		if !strings.HasPrefix(partial, token) {
			return nil, false
		}
		partial = partial[len(token):]
	}
	return nil, partial == ""
}
