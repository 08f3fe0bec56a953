package ratelimit

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// rememberedMessages is the number of messages of this host about targets to which responses
// are accepted.
const rememberedMessages = 256

// Request is the message in which a host asks for permits.
type Request struct {
	Sequence uint64
	Wants    []Want
}

// Response is the allocator's answer to a request. A request can have several responses.
type Response struct {
	// Sequence is the sequence of the request.
	Sequence uint64
	// Number counts the responses of one process to all hosts. A host accepts a response
	// once and in order, so that a duplicate gives no further permits.
	Number  uint64
	Granted []Granted
}

// Exchange tracks the messages of one host with the allocators of all regions. It is not
// safe for concurrent use.
type Exchange struct {
	sequence uint64
	// remembered is the number of messages of this host to which responses are accepted.
	remembered uint64
	// sentAt holds the times of the last messages by sequence.
	sentAt map[uint64]time.Time
	// number counts the responses that this host has sent as an allocator.
	number uint64
	// received holds the latest response of each allocator.
	received map[ident.HostID]receivedResponse
}

type receivedResponse struct {
	incarnation ident.Incarnation
	number      uint64
}

// NewExchange returns an exchange whose sequences follow start, which must be higher than
// the sequences of earlier processes of this host.
func NewExchange(start uint64) *Exchange { return newExchange(start, rememberedMessages) }

func newExchange(start, remembered uint64) *Exchange {
	return &Exchange{sequence: start, remembered: remembered, sentAt: map[uint64]time.Time{}, received: map[ident.HostID]receivedResponse{}}
}

// NewRequest returns the next message to an allocator.
func (x *Exchange) NewRequest(now time.Time, wants []Want) Request {
	x.sequence++
	x.sentAt[x.sequence] = now
	delete(x.sentAt, x.sequence-x.remembered)
	return Request{Sequence: x.sequence, Wants: wants}
}

// NewResponse returns the next message of this host as an allocator.
func (x *Exchange) NewResponse(sequence uint64, granted []Granted) Response {
	x.number++
	return Response{Sequence: sequence, Number: x.number, Granted: granted}
}

// Accept checks a response of an allocator and returns the time at which the request was
// sent, from which the lifetime of its permits counts. It returns false for a duplicate,
// for a response that was overtaken by a later one, and for one to a message that this
// process did not send or sent long ago.
func (x *Exchange) Accept(from ident.HostID, incarnation ident.Incarnation, r Response) (sentAt time.Time, ok bool) {
	last := x.received[from]
	if incarnation < last.incarnation || (incarnation == last.incarnation && r.Number <= last.number) {
		return time.Time{}, false
	}
	x.received[from] = receivedResponse{incarnation, r.Number}
	sentAt, ok = x.sentAt[r.Sequence]
	return sentAt, ok
}
