package capacity

import (
	"context"
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

func measurePeer(cfg Config, s *Slopes) error {
	if err := measureDatagrams(cfg, s); err != nil {
		return err
	}
	pair, err := newPeerPair()
	if err != nil {
		return err
	}
	defer pair.close()
	if err := measureExchange(cfg, s, pair); err != nil {
		return err
	}
	return measurePush(s, pair)
}

// measureDatagrams sends membership messages to a socket on loopback and takes
// their sizes there.
func measureDatagrams(cfg Config, s *Slopes) error {
	receiver, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer receiver.Close()
	sender, err := peer.ListenDatagrams("127.0.0.1:0", testIdentity{})
	if err != nil {
		return err
	}
	defer sender.Close()
	buffer := make([]byte, peer.MaxDatagramBytes+1)
	receive := func(updates int) ([]byte, error) {
		if err := sender.Send(receiver.LocalAddr().String(), cfg.Size.datagram(updates)); err != nil {
			return nil, err
		}
		n, _, err := receiver.ReadFrom(buffer)
		return buffer[:n], err
	}
	sizes := make([]float64, 2)
	for updates := range sizes {
		data, err := receive(updates)
		if err != nil {
			return err
		}
		sizes[updates] = float64(len(data))
	}
	data, err := receive(member.DefaultConfig().UpdatesPerMessage)
	if err != nil {
		return err
	}
	s.add("datagram", sizes[0], "bytes", "a membership message without updates (UDP payload of `peer.Datagrams`)")
	s.add("datagram.update", sizes[1]-sizes[0], "bytes", "one update on it")
	s.add("datagram.codec", codecTime(cfg, data), "ns", "encoding and decoding of a message with 6 updates (`proto.Marshal`, `proto.Unmarshal`)")
	return nil
}

func codecTime(cfg Config, data []byte) float64 {
	pb := &peerpb.Membership{}
	return perCall(cfg, func() {
		if proto.Unmarshal(data, pb) == nil {
			_, _ = proto.Marshal(pb)
		}
	})
}

func (s Size) datagram(updates int) member.Message {
	m := member.Message{
		Kind:     member.Ack,
		Sequence: 1 << 20,
		ToIncarnation:       ident.Incarnation(epoch.UnixMicro()),
		From:     s.info(1),
		Digest:   member.Digest{AsOf: 1 << 20, Revision: 1 << 20, LogAge: 1e9},
	}
	for i := range updates {
		m.Updates = append(m.Updates, member.Update{Info: s.info(2 + i)})
	}
	return m
}

// evidence is a report about a number of targets of each service, with evidence
// against each of them.
func (s Size) evidence(services, targets int) []port.ServiceEvidence {
	var list []port.ServiceEvidence
	for i := range services {
		svc := s.service(i)
		e := health.Evidence{Host: hostID(0), Incarnation: ident.Incarnation(epoch.UnixMicro()), Sequence: uint64(epoch.UnixMicro())}
		for j := range targets {
			e.Targets = append(e.Targets, health.TargetEvidence{Target: svc.Targets[j%len(svc.Targets)].Name, Score: 2.5, Attempts: 100, InFlight: 2})
		}
		list = append(list, port.ServiceEvidence{Service: svc.Name, Evidence: e})
	}
	return list
}

func measureExchange(cfg Config, s *Slopes, pair *peerPair) error {
	exchange := func(services, targets int) (float64, error) {
		reports := cfg.Size.evidence(services, targets)
		return pair.bytesOf(func() error {
			_, err := pair.client.Exchange(context.Background(), pair.address(), reports)
			return err
		})
	}
	empty, err := exchange(0, 0)
	if err != nil {
		return err
	}
	service, err := exchange(10, 0)
	if err != nil {
		return err
	}
	target, err := exchange(10, 10)
	if err != nil {
		return err
	}
	s.add("exchange", empty, "bytes", "an exchange of evidence without services, request and reply (TCP payload of `peer.Client`)")
	s.add("exchange.service", (service-empty)/10, "bytes", "one service on it, both ways")
	s.add("exchange.target", (target-service)/100, "bytes", "one target on it, both ways")
	reports := cfg.Size.evidence(3, 5)
	s.add("exchange.time", perCall(cfg, func() {
		_, err = pair.client.Exchange(context.Background(), pair.address(), reports)
	}), "ns", "an exchange of 3 services with 5 targets each over loopback, time of both hosts")
	return err
}

func measurePush(s *Slopes, pair *peerPair) error {
	records := []revision.Record{{Offset: 1 << 20, Time: epoch, Data: make([]byte, int(s.Get("record.change")))}}
	bytes, err := pair.bytesOf(func() error {
		_, err := pair.client.Push(context.Background(), pair.address(), records)
		return err
	})
	if err != nil {
		return err
	}
	s.add("push", bytes, "bytes", "a push of one change to another host, request and reply (TCP payload of `peer.Client`)")
	return nil
}
