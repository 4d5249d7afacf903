package trunk_test

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"corkcove/internal/prototest"
	"corkcove/internal/trunk"
)

// update writes the fixtures of this package that are missing. The committed
// files are the reference: they were written by the code of commit 242832a and
// must never be regenerated, so a folder that exists is refused.
var update = flag.Bool("update", false, "write missing fixture folders")

const (
	wireDir  = "testdata/wire/242832a"
	wireAddr = "peer.test:7000"
)

// The paths of all calls between processes, as 242832a sends them.
const (
	pathHold     = "/twirp/trunk.Exchange/Hold"
	pathCopy     = "/twirp/trunk.Exchange/Copy"
	pathAsk      = "/twirp/trunk.Exchange/Ask"
	pathHand     = "/twirp/trunk.Exchange/Hand"
	pathEnroll   = "/twirp/trunk.Exchange/Enroll"
	pathJoin     = "/twirp/trunk.Exchange/Join"
	pathHello    = "/twirp/trunk.Control/Hello"
	pathStatus   = "/twirp/trunk.Control/Status"
	pathSetState = "/twirp/trunk.Control/SetState"
	pathPin      = "/twirp/trunk.Control/Pin"
	pathRelay    = "/twirp/trunk.Control/Relay"
	pathPoll     = "/twirp/trunk.Node/Poll"
	pathPublish  = "/twirp/trunk.Node/Publish"
	pathDeliver  = "/twirp/trunk.Node/Deliver"
	pathTrace    = "/twirp/trunk.Tracer/Trace"
	pathFlows    = "/twirp/trunk.Tracer/Flows"
	pathSessions = "/twirp/trunk.Tracer/Sessions"
	pathTickets  = "/twirp/trunk.Tracer/Tickets"
	pathParts    = "/twirp/trunk.Tracer/Parts"
)

// wireCall is one call, known by its path; the rest is how present code makes it.
type wireCall struct {
	path       string
	newRequest func() proto.Message
	newAnswer  func() proto.Message
	send       func(lines *trunk.Lines, request proto.Message) (proto.Message, error)
}

func callOf[Q, R any, PQ message[Q], PR message[R]](path string, client func(*trunk.Lines) func(context.Context, PQ) (PR, error)) wireCall {
	return wireCall{
		path:       path,
		newRequest: func() proto.Message { return PQ(new(Q)) },
		newAnswer:  func() proto.Message { return PR(new(R)) },
		send: func(lines *trunk.Lines, request proto.Message) (proto.Message, error) {
			return client(lines)(context.Background(), request.(PQ))
		},
	}
}

// message is the pointer to a generated type.
type message[T any] interface {
	*T
	proto.Message
}

var wireCalls = []wireCall{
	callOf(pathHold, func(l *trunk.Lines) func(context.Context, *trunk.LeaseReq) (*trunk.LeaseResp, error) {
		return l.Exchange(wireAddr).Hold
	}),
	callOf(pathCopy, func(l *trunk.Lines) func(context.Context, *trunk.CopyReq) (*trunk.CopyResp, error) {
		return l.Exchange(wireAddr).Copy
	}),
	callOf(pathAsk, func(l *trunk.Lines) func(context.Context, *trunk.AskReq) (*trunk.AskResp, error) {
		return l.Exchange(wireAddr).Ask
	}),
	callOf(pathHand, func(l *trunk.Lines) func(context.Context, *trunk.HandReq) (*trunk.HandResp, error) {
		return l.Exchange(wireAddr).Hand
	}),
	callOf(pathEnroll, func(l *trunk.Lines) func(context.Context, *trunk.EnrollReq) (*trunk.EnrollResp, error) {
		return l.Exchange(wireAddr).Enroll
	}),
	callOf(pathJoin, func(l *trunk.Lines) func(context.Context, *trunk.JoinReq) (*trunk.JoinResp, error) {
		return l.Exchange(wireAddr).Join
	}),
	callOf(pathHello, func(l *trunk.Lines) func(context.Context, *trunk.HelloReq) (*trunk.HelloResp, error) {
		return l.Control(wireAddr).Hello
	}),
	callOf(pathStatus, func(l *trunk.Lines) func(context.Context, *trunk.StatusReq) (*trunk.StatusResp, error) {
		return l.Control(wireAddr).Status
	}),
	callOf(pathSetState, func(l *trunk.Lines) func(context.Context, *trunk.SetStateReq) (*trunk.SetStateResp, error) {
		return l.Control(wireAddr).SetState
	}),
	callOf(pathPin, func(l *trunk.Lines) func(context.Context, *trunk.PinReq) (*trunk.PinResp, error) {
		return l.Control(wireAddr).Pin
	}),
	callOf(pathRelay, func(l *trunk.Lines) func(context.Context, *trunk.RelayReq) (*trunk.RelayResp, error) {
		return l.Control(wireAddr).Relay
	}),
	callOf(pathPoll, func(l *trunk.Lines) func(context.Context, *trunk.PollReq) (*trunk.PollResp, error) {
		return l.Node(wireAddr).Poll
	}),
	callOf(pathPublish, func(l *trunk.Lines) func(context.Context, *trunk.ViewReq) (*trunk.ViewResp, error) {
		return l.Node(wireAddr).Publish
	}),
	callOf(pathDeliver, func(l *trunk.Lines) func(context.Context, *trunk.DeliverReq) (*trunk.DeliverResp, error) {
		return l.Node(wireAddr).Deliver
	}),
	callOf(pathTrace, func(l *trunk.Lines) func(context.Context, *trunk.TraceReq) (*trunk.TraceResp, error) {
		return l.Tracer(wireAddr).Trace
	}),
	callOf(pathFlows, func(l *trunk.Lines) func(context.Context, *trunk.FlowsReq) (*trunk.FlowsResp, error) {
		return l.Tracer(wireAddr).Flows
	}),
	callOf(pathSessions, func(l *trunk.Lines) func(context.Context, *trunk.SessionsReq) (*trunk.SessionsResp, error) {
		return l.Tracer(wireAddr).Sessions
	}),
	callOf(pathTickets, func(l *trunk.Lines) func(context.Context, *trunk.TicketsReq) (*trunk.TicketsResp, error) {
		return l.Tracer(wireAddr).Tickets
	}),
	callOf(pathParts, func(l *trunk.Lines) func(context.Context, *trunk.PartsReq) (*trunk.PartsResp, error) {
		return l.Tracer(wireAddr).Parts
	}),
}

// recordedServer stands for all services. It notes the call that came and gives
// the answer that was set.
type recordedServer struct {
	path    string
	request proto.Message
	answer  proto.Message
}

func answerTo[Q, R proto.Message](s *recordedServer, path string, request Q) (R, error) {
	s.path, s.request = path, request
	return s.answer.(R), nil
}

func (s *recordedServer) Hold(_ context.Context, q *trunk.LeaseReq) (*trunk.LeaseResp, error) {
	return answerTo[*trunk.LeaseReq, *trunk.LeaseResp](s, pathHold, q)
}

func (s *recordedServer) Copy(_ context.Context, q *trunk.CopyReq) (*trunk.CopyResp, error) {
	return answerTo[*trunk.CopyReq, *trunk.CopyResp](s, pathCopy, q)
}

func (s *recordedServer) Ask(_ context.Context, q *trunk.AskReq) (*trunk.AskResp, error) {
	return answerTo[*trunk.AskReq, *trunk.AskResp](s, pathAsk, q)
}

func (s *recordedServer) Hand(_ context.Context, q *trunk.HandReq) (*trunk.HandResp, error) {
	return answerTo[*trunk.HandReq, *trunk.HandResp](s, pathHand, q)
}

func (s *recordedServer) Enroll(_ context.Context, q *trunk.EnrollReq) (*trunk.EnrollResp, error) {
	return answerTo[*trunk.EnrollReq, *trunk.EnrollResp](s, pathEnroll, q)
}

func (s *recordedServer) Join(_ context.Context, q *trunk.JoinReq) (*trunk.JoinResp, error) {
	return answerTo[*trunk.JoinReq, *trunk.JoinResp](s, pathJoin, q)
}

func (s *recordedServer) Hello(_ context.Context, q *trunk.HelloReq) (*trunk.HelloResp, error) {
	return answerTo[*trunk.HelloReq, *trunk.HelloResp](s, pathHello, q)
}

func (s *recordedServer) Status(_ context.Context, q *trunk.StatusReq) (*trunk.StatusResp, error) {
	return answerTo[*trunk.StatusReq, *trunk.StatusResp](s, pathStatus, q)
}

func (s *recordedServer) SetState(_ context.Context, q *trunk.SetStateReq) (*trunk.SetStateResp, error) {
	return answerTo[*trunk.SetStateReq, *trunk.SetStateResp](s, pathSetState, q)
}

func (s *recordedServer) Pin(_ context.Context, q *trunk.PinReq) (*trunk.PinResp, error) {
	return answerTo[*trunk.PinReq, *trunk.PinResp](s, pathPin, q)
}

func (s *recordedServer) Relay(_ context.Context, q *trunk.RelayReq) (*trunk.RelayResp, error) {
	return answerTo[*trunk.RelayReq, *trunk.RelayResp](s, pathRelay, q)
}

func (s *recordedServer) Poll(_ context.Context, q *trunk.PollReq) (*trunk.PollResp, error) {
	return answerTo[*trunk.PollReq, *trunk.PollResp](s, pathPoll, q)
}

func (s *recordedServer) Publish(_ context.Context, q *trunk.ViewReq) (*trunk.ViewResp, error) {
	return answerTo[*trunk.ViewReq, *trunk.ViewResp](s, pathPublish, q)
}

func (s *recordedServer) Deliver(_ context.Context, q *trunk.DeliverReq) (*trunk.DeliverResp, error) {
	return answerTo[*trunk.DeliverReq, *trunk.DeliverResp](s, pathDeliver, q)
}

func (s *recordedServer) Trace(_ context.Context, q *trunk.TraceReq) (*trunk.TraceResp, error) {
	return answerTo[*trunk.TraceReq, *trunk.TraceResp](s, pathTrace, q)
}

func (s *recordedServer) Flows(_ context.Context, q *trunk.FlowsReq) (*trunk.FlowsResp, error) {
	return answerTo[*trunk.FlowsReq, *trunk.FlowsResp](s, pathFlows, q)
}

func (s *recordedServer) Sessions(_ context.Context, q *trunk.SessionsReq) (*trunk.SessionsResp, error) {
	return answerTo[*trunk.SessionsReq, *trunk.SessionsResp](s, pathSessions, q)
}

func (s *recordedServer) Tickets(_ context.Context, q *trunk.TicketsReq) (*trunk.TicketsResp, error) {
	return answerTo[*trunk.TicketsReq, *trunk.TicketsResp](s, pathTickets, q)
}

func (s *recordedServer) Parts(_ context.Context, q *trunk.PartsReq) (*trunk.PartsResp, error) {
	return answerTo[*trunk.PartsReq, *trunk.PartsResp](s, pathParts, q)
}

// handler serves all services at the prefixes at which the processes do.
func (s *recordedServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(trunk.ExchangePathPrefix, trunk.NewExchangeServer(s))
	mux.Handle(trunk.ControlPathPrefix, trunk.NewControlServer(s))
	mux.Handle(trunk.NodePathPrefix, trunk.NewNodeServer(s))
	mux.Handle(trunk.TracerPathPrefix, trunk.NewTracerServer(s))
	return mux
}

// Names of the files of one recorded call. The head holds the request line and
// the headers that say what the body is; the texts are by field number.
const (
	headFile        = "head.txt"
	requestFile     = "request.bin"
	requestTextFile = "request.txt"
	answerFile      = "answer.bin"
	answerTextFile  = "answer.txt"
)

// recordedCall is what one folder holds.
type recordedCall struct {
	head        string
	request     []byte
	requestText string
	answer      []byte
	answerText  string
}

// folderOf is where the call at a path is recorded.
func folderOf(path string) string {
	return filepath.Join(wireDir, strings.ReplaceAll(strings.TrimPrefix(path, "/twirp/"), "/", "."))
}

func readCall(t *testing.T, call wireCall) recordedCall {
	t.Helper()
	read := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join(folderOf(call.path), name))
		qt.Assert(t, err, qt.IsNil)
		return data
	}
	return recordedCall{string(read(headFile)), read(requestFile), string(read(requestTextFile)), read(answerFile), string(read(answerTextFile))}
}

// writeCall records a call whose messages have every field set.
func writeCall(t *testing.T, call wireCall) {
	t.Helper()
	request, answer := call.newRequest(), call.newAnswer()
	prototest.Fill(request)
	prototest.Fill(answer)
	answerData, err := proto.MarshalOptions{Deterministic: true}.Marshal(answer)
	qt.Assert(t, err, qt.IsNil)
	line := &recordingLine{answer: answerData}
	_, err = call.send(trunk.NewLines(&http.Client{Transport: line}), request)
	qt.Assert(t, err, qt.IsNil)
	dir := folderOf(call.path)
	qt.Assert(t, os.MkdirAll(wireDir, 0o755), qt.IsNil)
	qt.Assert(t, os.Mkdir(dir, 0o755), qt.IsNil, qt.Commentf("committed fixtures are never written again"))
	for name, data := range map[string]string{
		headFile: line.head, requestFile: string(line.request), requestTextFile: prototest.Text(request),
		answerFile: string(answerData), answerTextFile: prototest.Text(answer),
	} {
		qt.Assert(t, os.WriteFile(filepath.Join(dir, name), []byte(data), 0o644), qt.IsNil)
	}
}

// recordingLine keeps the one request that is sent through it.
type recordingLine struct {
	answer  []byte
	head    string
	request []byte
}

func (l *recordingLine) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	l.head = headOf(r)
	l.request = body
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"application/protobuf"}},
		Body: io.NopCloser(bytes.NewReader(l.answer)), Request: r,
	}, nil
}

func headOf(r *http.Request) string {
	return r.Method + " " + r.URL.RequestURI() + "\nContent-Type: " + r.Header.Get("Content-Type") + "\nAccept: " + r.Header.Get("Accept") + "\n"
}

// decoded reads a message and holds it to its text by field number.
func decoded(t *testing.T, into proto.Message, data []byte, want string) proto.Message {
	t.Helper()
	qt.Assert(t, proto.Unmarshal(data, into), qt.IsNil)
	qt.Assert(t, prototest.Text(into), qt.Equals, want)
	return into
}

// TestAllCallsOf242832aAreRecorded holds the table of calls to the folders, and
// to the number of methods that are declared.
func TestAllCallsOf242832aAreRecorded(t *testing.T) {
	paths := map[string]bool{}
	for _, call := range wireCalls {
		if *update {
			writeCall(t, call)
		}
		paths[call.path] = true
	}
	qt.Assert(t, paths, qt.HasLen, len(wireCalls))
	folders, err := os.ReadDir(wireDir)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, folders, qt.HasLen, len(wireCalls))
	declared := 0
	services := wireCalls[0].newRequest().ProtoReflect().Descriptor().ParentFile().Services()
	for i := 0; i < services.Len(); i++ {
		declared += services.Get(i).Methods().Len()
	}
	qt.Assert(t, declared, qt.Equals, len(wireCalls))
}

// TestClientSendsCallsAs242832a sends the recorded values and compares the
// request line and the body; the recorded answer must be understood.
func TestClientSendsCallsAs242832a(t *testing.T) {
	for _, call := range wireCalls {
		t.Run(call.path, func(t *testing.T) {
			recorded := readCall(t, call)
			request := decoded(t, call.newRequest(), recorded.request, recorded.requestText)
			line := &recordingLine{answer: recorded.answer}
			answer, err := call.send(trunk.NewLines(&http.Client{Transport: line}), request)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, line.head, qt.Equals, recorded.head)
			qt.Check(t, line.request, qt.DeepEquals, recorded.request)
			qt.Check(t, prototest.Text(answer), qt.Equals, recorded.answerText)
		})
	}
}

// TestServerAnswersCallsOf242832a replays the recorded request to the present
// server, which must understand it and answer with the recorded bytes.
func TestServerAnswersCallsOf242832a(t *testing.T) {
	for _, call := range wireCalls {
		t.Run(call.path, func(t *testing.T) {
			recorded := readCall(t, call)
			server := &recordedServer{answer: decoded(t, call.newAnswer(), recorded.answer, recorded.answerText)}
			response := httptest.NewRecorder()
			server.handler().ServeHTTP(response, requestOf(t, recorded))
			qt.Assert(t, response.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", response.Body))
			qt.Check(t, response.Header().Get("Content-Type"), qt.Equals, "application/protobuf")
			qt.Check(t, response.Body.Bytes(), qt.DeepEquals, recorded.answer)
			qt.Check(t, server.path, qt.Equals, call.path)
			qt.Check(t, prototest.Text(server.request), qt.Equals, recorded.requestText)
		})
	}
}

// requestOf is the request as the recorded head and body make it.
func requestOf(t *testing.T, recorded recordedCall) *http.Request {
	t.Helper()
	lines := strings.Split(strings.TrimSuffix(recorded.head, "\n"), "\n")
	method, path, ok := strings.Cut(lines[0], " ")
	qt.Assert(t, ok, qt.IsTrue)
	request := httptest.NewRequest(method, path, bytes.NewReader(recorded.request))
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ": ")
		qt.Assert(t, ok, qt.IsTrue)
		request.Header.Set(name, value)
	}
	return request
}
