package messenger

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"

	"almondpick/gossiper"
)

// manyRecords answers with the records of 3,000 targets.
type manyRecords struct{ PeerServer }

func (manyRecords) Records(context.Context, *Empty) (*RecordsReply, error) {
	var records RecordList
	for n := range 3000 {
		body, err := cbor.Marshal([]any{fmt.Sprintf("10.1.%d.%d:8080", n>>8, n&255), "menus", "dc-1", 2, n * 7919})
		if err != nil {
			return nil, err
		}
		records = append(records, gossiper.Record{Key: fmt.Sprintf("t/10.1.%d.%d:8080", n>>8, n&255), Incarnation: 1767915855000, Sequence: uint64(n), Body: body})
	}
	packed, err := EncodeRecords(records)
	return &RecordsReply{CompressedRecords: packed}, err
}

// wireSize notes the size of answers on the wire and decoded.
type wireSize struct{ wire, plain int }

func (*wireSize) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (*wireSize) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (*wireSize) HandleConn(context.Context, stats.ConnStats)                       {}
func (w *wireSize) HandleRPC(_ context.Context, s stats.RPCStats) {
	if in, ok := s.(*stats.InPayload); ok {
		w.wire, w.plain = in.CompressedLength, in.Length
	}
}

// All instances of a deployment may ask for all records at once, over links of 2 Mbit/s: the
// answer must come within the time of the first try.
func TestRecordsFitThroughASmallLinkInTime(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := grpc.NewServer()
	RegisterPeer(s, manyRecords{})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	size := &wireSize{}
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(size))
	is.NoErr(err)
	reply, err := PeerClient{Conn: conn}.Records(context.Background())
	is.NoErr(err)
	records, err := reply.DecodeRecords()
	is.NoErr(err)
	is.Equal(len(records), 3000)
	t.Logf("%d bytes on the wire, %d decoded", size.wire, size.plain)
	const linkBytes = 2_000_000 / 8 // a second
	is.True(size.wire < linkBytes/2)
	is.NoErr(conn.Close())
	s.Stop()
	is.NoErr(<-served)
}
