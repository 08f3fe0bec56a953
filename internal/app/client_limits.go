package app

import (
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/httpserver"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// ClientLimits are the limits of a process for what it holds for clients. They are derived from its memory
// and its descriptors.
type ClientLimits struct {
	// MemoryBytes is the memory of the process, or 0 if it is unknown.
	MemoryBytes int64
	// BudgetBytes is the size of the memory budget; 0 for the default of ingress.Config.
	BudgetBytes int64
	// ResponseBufferBytes bounds the memory for responses that are kept until they are complete; 0 for the
	// default of ingress.Config.
	ResponseBufferBytes int64
	// CallerConnections, DirectoryConnections and AdminConnections bound the connections of callers, those to
	// the readiness and resolution addresses, and those to the administration interface; 0: no bound.
	CallerConnections, DirectoryConnections, AdminConnections int
	// PeerConnections bounds the connections that other hosts open; 0: no bound.
	PeerConnections int
	// TargetConnections bounds the connections to targets that are kept open without a request; 0: no bound.
	TargetConnections int
	// ReceiveBuffer, BodyReceiveBuffer, SendBuffer and ResponseSendBuffer are the sizes of the kernel's buffers of
	// a caller's connection; 0: the kernel chooses.
	ReceiveBuffer, BodyReceiveBuffer, SendBuffer, ResponseSendBuffer int
	// TargetSendBuffer, TargetBodySendBuffer, TargetReceiveBuffer and TargetBodyReceiveBuffer are those of a
	// connection to a target; 0: the kernel chooses.
	TargetSendBuffer, TargetBodySendBuffer, TargetReceiveBuffer, TargetBodyReceiveBuffer int
	// MaxUnreadResponses bounds the connections whose callers have not read their responses for half a
	// second; 0: no bound.
	MaxUnreadResponses int
}

const (
	// budgetFraction is the part of the memory that is the budget, as a divisor. The other half is for the
	// program itself (some 20 MB), garbage up to the limit of the runtime (three quarters of the memory), and
	// the kernel's buffers.
	budgetFraction = 2
	// responseFraction is the part of the memory that may hold responses until they are complete, as a
	// divisor.
	responseFraction = 8
	// kernelFraction is the part of the memory for received or sent bytes that the other side has not read,
	// as a divisor. It is what the limit of the runtime leaves.
	kernelFraction = 4
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// Each request of a caller needs a connection to a target as well, so callers get less than half of the
	// sockets, in percent. Refused connections take up to a sixteenth of their part besides. What is left is
	// for targets, other hosts and the store.
	callerPercent    = 42
	directoryPercent = 5
	targetPercent    = 45
	// Hosts of a region call its coordinator. Their connections are silent most of the time, and those beyond
	// the bound are closed and opened anew.
	peerPercent        = 2
	minPeerConnections = 16
	// Some responses of the administration interface have megabytes, so its connections are few on a host of
	// any size.
	adminPercent                             = 1
	minAdminConnections, maxAdminConnections = 8, 32
	// receiveBuffer bounds what the kernel keeps of a connection that is not read, such as requests behind a
	// response that is not read; without it, megabytes. The kernel doubles it, and the window is this size,
	// so that most bodies arrive in one round trip. A large body gets bodyReceiveBuffer while it is read. Its
	// window is 64 KiB, since a connection that starts with a small buffer negotiates no window scaling:
	// with a round trip of 16 ms, it carries 32 Mbit/s.
	receiveBuffer     = 32 << 10
	bodyReceiveBuffer = 128 << 10
	// sendBuffer bounds what the kernel keeps of a response that a caller does not read, or reads slowly. It
	// holds most responses. A longer one is sent through responseSendBuffer while the budget has room for its
	// bytes in the kernel. With a round trip of 16 ms, a connection carries 32 Mbit/s then, 4 without room.
	sendBuffer         = 8 << 10
	responseSendBuffer = 64 << 10
	// targetSendBuffer holds a request head and a small body. A larger body is sent through
	// targetBodySendBuffer while the budget has room for its bytes in the kernel. With a round trip of 60 ms
	// between regions, a connection carries 17 to 34 Mbit/s then.
	targetSendBuffer     = 16 << 10
	targetBodySendBuffer = 128 << 10
	// targetReceiveBuffer bounds what the kernel keeps of a response whose caller does not read. A long one
	// arrives through targetBodyReceiveBuffer while the budget has room for its bytes in the kernel: with a
	// round trip of 60 ms, a connection carries 8 Mbit/s then, nearly the 10 Mbit/s of a small host.
	targetReceiveBuffer     = 32 << 10
	targetBodyReceiveBuffer = 64 << 10
)

// NewClientLimits returns the limits of a process with the given memory and descriptors, each 0 if unknown.
func NewClientLimits(memoryBytes int64, maxFiles int) ClientLimits {
	l := ClientLimits{
		MemoryBytes:         memoryBytes,
		BudgetBytes:         memoryBytes / budgetFraction,
		ResponseBufferBytes: memoryBytes / responseFraction,
	}
	if memoryBytes > 0 {
		l.ReceiveBuffer, l.BodyReceiveBuffer, l.SendBuffer, l.ResponseSendBuffer = receiveBuffer, bodyReceiveBuffer, sendBuffer, responseSendBuffer
		l.TargetSendBuffer, l.TargetBodySendBuffer = targetSendBuffer, targetBodySendBuffer
		l.TargetReceiveBuffer, l.TargetBodyReceiveBuffer = targetReceiveBuffer, targetBodyReceiveBuffer
		l.MaxUnreadResponses = max(1, int(memoryBytes/kernelFraction/(2*(receiveBuffer+responseSendBuffer+targetBodyReceiveBuffer))))
	}
	// With few descriptors the reserve would leave none for sockets.
	if sockets := max(maxFiles-reservedFiles, maxFiles/2); maxFiles > 0 {
		l.CallerConnections = max(1, sockets*callerPercent/100)
		l.DirectoryConnections = max(1, sockets*directoryPercent/100)
		l.TargetConnections = max(1, sockets*targetPercent/100)
		l.PeerConnections = max(sockets*peerPercent/100, minPeerConnections)
		l.AdminConnections = min(max(sockets*adminPercent/100, minAdminConnections), maxAdminConnections)
	}
	return l
}

// budget returns a memory budget, or nil for the default.
func (l *ClientLimits) budget() *membudget.Budget {
	if l.BudgetBytes <= 0 {
		return nil
	}
	return membudget.New(membudget.DefaultConfig(l.BudgetBytes))
}

// Directory returns the limits of the server for the readiness and resolution addresses.
func (l *ClientLimits) Directory() httpserver.Limits {
	return httpserver.Limits{MaxConnections: l.DirectoryConnections, ReceiveBuffer: l.ReceiveBuffer, SendBuffer: l.ResponseSendBuffer}
}

// Admin returns the limits of the server of the administration interface.
func (l *ClientLimits) Admin() httpserver.Limits {
	return httpserver.Limits{MaxConnections: l.AdminConnections, ReceiveBuffer: l.ReceiveBuffer, SendBuffer: l.ResponseSendBuffer}
}

// peers returns the limits of the server for other hosts.
func (l *ClientLimits) peers() peer.ServerLimits {
	return peer.ServerLimits{MaxConnections: l.PeerConnections, MaxMessageBytes: peer.MaxFleetMessageBytes}
}

// callers returns the limits of the server for callers.
func (l *ClientLimits) callers(memory *membudget.Budget) httpserver.Limits {
	return httpserver.Limits{MaxConnections: l.CallerConnections, Memory: memory, ReceiveBuffer: l.ReceiveBuffer, BodyReceiveBuffer: l.BodyReceiveBuffer, SendBuffer: l.SendBuffer, ResponseSendBuffer: l.ResponseSendBuffer}
}
