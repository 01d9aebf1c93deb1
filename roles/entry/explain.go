package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/core"
	"zinniapulley.dev/passthrough/dispatch"
)

// maxQuestions is the most questions that wait for the packet path, which answers them at
// its ticks.
const maxQuestions = 4

// ErrTooManyQuestions is the answer to a question while others wait.
var ErrTooManyQuestions = errors.New("too many questions wait for an answer")

// question asks the packet path where a flow would go.
type question struct {
	key core.FlowKey
	// answer has room for the answer, so that the packet path doesn't wait.
	answer chan dispatch.Explanation
}

// Explain returns where the flow's opening packet would go now, and why. Nothing is sent.
func (e *Entry) Explain(ctx context.Context, key core.FlowKey) (dispatch.Explanation, error) {
	q := question{key: key, answer: make(chan dispatch.Explanation, 1)}
	select {
	case e.questions <- q:
	default:
		return dispatch.Explanation{}, ErrTooManyQuestions
	}
	select {
	case explanation := <-q.answer:
		return explanation, nil
	case <-ctx.Done():
		return dispatch.Explanation{}, errors.Trace(ctx.Err())
	}
}

// answerQuestions answers the questions that wait.
func (path *packetPath) answerQuestions(now time.Time) {
	for range maxQuestions {
		select {
		case q := <-path.entry.questions:
			q.answer <- path.dispatcher.Explain(now, q.key)
		default:
			return
		}
	}
}
