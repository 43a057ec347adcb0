package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/gateway/extrawork"
	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/kernel"
)

func learningGateway(share float64) *Gateway {
	return &Gateway{extraWork: extrawork.New(extrawork.Settings{Share: share}), metrics: newMetrics(kernel.NewCounters())}
}

// answers lets the gateway record answers of one kind and returns it.
func (g *Gateway) answers(n int) extrawork.Kind {
	k := extrawork.Kind{Pool: "plain", Mode: 1, Size: 3}
	for i := range n {
		g.extraWork.RecordAnswer(k, "w-1", time.Duration(50+i)*time.Millisecond, time.Now())
	}
	return k
}

// Guards against sums that arrive as another kind, or altered, and against messages that take more than was reckoned with.
func TestResponseTimesPassBetweenGateways(t *testing.T) {
	is := is.New(t)
	child, root := learningGateway(0.02), learningGateway(0.02)
	k := child.answers(200)
	root.extraWork.TakeDown(true, time.Now().Add(-time.Minute)) // begins to save up what may be told
	child.extraWork.TakeUp(time.Now().Add(-time.Minute))
	up := child.ResponseTimes(true, false)
	is.Equal(len(up), 1)
	root.MergeResponseTimes(true, up)
	down := root.ResponseTimes(false, true)
	is.Equal(len(down), 1)
	child.MergeResponseTimes(false, down)
	is.Equal(child.extraWork.Sums(time.Now())[k].Answers, 200)
	for _, times := range [][]*peerpb.ResponseTimes{up, down} {
		m := times[0]
		told := extrawork.Told{Pool: m.GetPool(), Kind: m.GetKind(), Answered: m.GetAnswered(), Cut: m.GetCancelled(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
		is.Equal(proto.Size(&peerpb.State{ResponseTimes: times}), told.Size())
	}
}

// Guards against sums that are sent or kept where no extra work is enabled, and against implausible ones that are not counted.
func TestResponseTimesAreOffWithoutExtraWork(t *testing.T) {
	is := is.New(t)
	off, on := learningGateway(0), learningGateway(0.02)
	off.answers(200)
	off.extraWork.TakeUp(time.Now().Add(-time.Minute))
	is.Equal(len(off.ResponseTimes(true, false)), 0)
	is.Equal(len(off.ResponseTimes(false, true)), 0)
	on.MergeResponseTimes(false, []*peerpb.ResponseTimes{{Kind: 1 << 20, Answered: []byte{10, 1}, AgeMs: 5}})
	is.Equal(on.metrics.extraWork.Get("sums ignored").String(), "1")
}
