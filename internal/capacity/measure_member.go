package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
)

func (s Size) info(i int) member.Info {
	return member.Info{
		ID:            hostID(i),
		Version:       member.Version{Incarnation: ident.Incarnation(epoch.UnixMicro()) + ident.Incarnation(i)},
		Location:      s.location(i),
		PeerAddress:   fmt.Sprintf("10.200.%d.%d:8082", i>>8, i&255),
		CallerAddress: fmt.Sprintf("10.200.%d.%d:8080", i>>8, i&255),
		AdminAddress:  fmt.Sprintf("10.200.%d.%d:8081", i>>8, i&255),
	}
}

// members returns a list that knows all hosts of the size. Its queue of updates
// is empty unless joined tells to keep the updates about joining hosts.
func (s Size) members(joined bool) *member.List {
	l := member.New(epoch, member.DefaultConfig(), s.info(0), 1)
	for i := 1; i < s.Hosts; i++ {
		l.Receive(epoch, member.Message{Kind: member.Ack, From: s.info(i)})
	}
	for n := 0; !joined && n < 1_000_000; n++ {
		actions := l.Receive(epoch, member.Message{Kind: member.Ping, From: s.info(1)})
		if sent, ok := actions[len(actions)-1].(member.Send); ok && len(sent.Message.Updates) == 0 {
			break
		}
	}
	return l
}

func measureMember(cfg Config, s *Slopes) error {
	size := cfg.Size
	s.add("state.member", heldBytes(func() any { return size.members(false) })/float64(size.Hosts), "bytes", "one host of the member list (live heap of `member.List`)")
	quiet := size.members(false)
	now := epoch
	s.add("member.tick", perCall(cfg, func() {
		now = now.Add(time.Second)
		for _, a := range quiet.Tick(now) {
			if send, ok := a.(member.Send); ok {
				size.reply(quiet, now, send)
			}
		}
	}), "ns", "one second of the membership protocol: a probe and its reply, all hosts alive (`member.List`)")
	ping := member.Message{Kind: member.Ping, From: size.info(1)}
	s.add("member.receive", perCall(cfg, func() { quiet.Receive(now, ping) }), "ns", "a received probe and its reply without updates")
	busy := size.members(true)
	i := 0
	s.add("member.receive.busy", perCall(cfg, func() {
		i++
		ping.Updates = []member.Update{{Info: size.info(2 + i%(size.Hosts-2))}}
		ping.Updates[0].Version.Epoch = uint32(i)
		busy.Receive(now, ping)
	}), "ns", "the same with one new update while updates about all hosts wait to be passed on")
	s.add("member.join", size.joinSeconds(), "s", "time until a starting host has heard of every host, simulated: host list, ticks each second, replies, one probe by others each second")
	s.add("member.list", perCall(cfg, func() { quiet.Nodes() }), "ns", "the sorted list of all hosts (`member.List.Nodes`)")
	return nil
}

// joinSeconds simulates a host that starts with the platform's host list and
// returns the seconds until no host is left unconfirmed.
func (s Size) joinSeconds() float64 {
	l := member.New(epoch, member.DefaultConfig(), s.info(0), 1)
	var listed []member.Info
	for i := 1; i < s.Hosts; i++ {
		listed = append(listed, s.info(i))
	}
	l.ApplyHostList(epoch, listed)
	rng := rand.New(rand.NewPCG(1, 2))
	for second := 1; ; second++ {
		now := epoch.Add(time.Duration(second) * time.Second)
		for _, a := range l.Tick(now) {
			if send, ok := a.(member.Send); ok {
				s.reply(l, now, send)
			}
		}
		l.Receive(now, member.Message{Kind: member.Ping, From: s.info(1 + rng.IntN(s.Hosts-1))})
		if !slices.ContainsFunc(l.Nodes(), func(n member.Node) bool { return !n.Confirmed }) {
			return float64(second)
		}
	}
}

// reply gives the list the reply to a probe.
func (s Size) reply(l *member.List, now time.Time, send member.Send) {
	var a, b int
	if _, err := fmt.Sscanf(send.Address, "10.200.%d.%d:8082", &a, &b); err != nil {
		return
	}
	l.Receive(now, member.Message{Kind: member.Ack, Sequence: send.Message.Sequence, ToIncarnation: l.Self().Version.Incarnation, From: s.info(a<<8 | b)})
}
