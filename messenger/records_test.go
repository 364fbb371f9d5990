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

// manyRecordsServer replies with the records of 3,000 targets.
type manyRecordsServer struct{ PeerServer }

func (manyRecordsServer) Records(context.Context, *Empty) (*RecordsReply, error) {
	var records RecordList
	for n := range 3000 {
		body, err := cbor.Marshal([]any{fmt.Sprintf("10.1.%d.%d:8080", n>>8, n&255), "menus", "dc-1", 2, n * 7919})
		if err != nil {
			return nil, err
		}
		records = append(records, gossiper.Record{Key: fmt.Sprintf("t/10.1.%d.%d:8080", n>>8, n&255), Incarnation: 1767915855000, Sequence: uint64(n), Body: body})
	}
	compressed, err := EncodeRecords(records)
	return &RecordsReply{CompressedRecords: compressed}, err
}

// payloadSizes records the size of the last reply, in bytes, as sent and as decoded by gRPC.
type payloadSizes struct{ compressed, decompressed int }

func (*payloadSizes) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (*payloadSizes) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (*payloadSizes) HandleConn(context.Context, stats.ConnStats)                       {}
func (w *payloadSizes) HandleRPC(_ context.Context, s stats.RPCStats) {
	if in, ok := s.(*stats.InPayload); ok {
		w.compressed, w.decompressed = in.CompressedLength, in.Length
	}
}

// All instances of a deployment may ask for all records at the same time, over links of
// 2 Mbit/s. The reply must arrive before the first attempt times out.
func TestRecordsReplyFitsASlowLink(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	s := grpc.NewServer()
	RegisterPeer(s, manyRecordsServer{})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	sizes := &payloadSizes{}
	conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(sizes))
	is.NoErr(err)
	reply, err := PeerClient{Conn: conn}.Records(context.Background())
	is.NoErr(err)
	records, err := reply.DecodeRecords()
	is.NoErr(err)
	is.Equal(len(records), 3000)
	t.Logf("%d bytes on the wire, %d decoded", sizes.compressed, sizes.decompressed)
	const linkBytesPerSecond = 2_000_000 / 8
	is.True(sizes.compressed < linkBytesPerSecond/2)
	is.NoErr(conn.Close())
	s.Stop()
	is.NoErr(<-served)
}
