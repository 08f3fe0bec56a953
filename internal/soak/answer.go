package soak

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"strings"
)

// Sizes of the bodies of answers.
const (
	minAnswerBytes = 120
	maxAnswerBytes = 96 << 10
	// largeAnswerShare is the number of requests of which one gets an answer of up to
	// maxAnswerBytes; the others get up to smallAnswerBytes.
	largeAnswerShare = 8
	smallAnswerBytes = 2 << 10
)

// request is what a target works on. Its answer is derived from it, so that a caller recognizes
// the complete answer to its own request.
type request struct {
	id, method, path, bodySum string
}

// sum returns a short hash of data.
func sum(data []byte) string {
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:8])
}

// hash returns a number that is derived from text, for choices that need not follow the schedule.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	// The lowest bits of FNV depend on few input bits.
	return h.Sum64() >> 8
}

// answerBody returns the body of a target's answer.
func (r request) answerBody(target string) []byte {
	line := fmt.Sprintf("%s %s %s %s %s\n", r.id, r.method, r.path, r.bodySum, target)
	choice, limit := hash(r.id), uint64(smallAnswerBytes)
	if choice%largeAnswerShare == 0 {
		limit = maxAnswerBytes
	}
	size := max(uint64(len(line)), minAnswerBytes+(choice/largeAnswerShare)%limit)
	return bytes.Repeat([]byte(line), int(size)/len(line)+1)[:size]
}

// signature returns a target's signature of an answer.
func signature(status int, body []byte) string { return fmt.Sprintf("%d.%s", status, sum(body)) }

// verify returns what is wrong with an answer that a caller got as that of a target, or "".
func (r request) verify(status int, responseID, signed string, body []byte) string {
	line, _, _ := strings.Cut(string(body), "\n")
	fields := strings.Fields(line)
	switch {
	case responseID != "" && responseID != r.id:
		return "the answer has the ID of request " + responseID
	case signed == "" && status >= 200 && status < 300:
		return "a success without a signature"
	case signed == "":
		return ""
	case signed != signature(status, body):
		return fmt.Sprintf("status %d and a body of %d bytes do not match the signature %s", status, len(body), signed)
	case len(fields) != 5 || !bytes.Equal(body, r.answerBody(fields[4])):
		return fmt.Sprintf("the answer belongs to another request: %.100q", line)
	}
	return ""
}
