package loop

import "context"

// Reply carries the answer to one event back from the loop. The handler answers
// exactly once, at once or later.
type Reply[A any] struct {
	answer chan A
}

// NewReply returns an unanswered reply.
func NewReply[A any]() Reply[A] {
	return Reply[A]{answer: make(chan A, 1)}
}

// Answer sends the answer. It never blocks; a second answer is dropped.
func (r Reply[A]) Answer(answer A) {
	select {
	case r.answer <- answer:
	default:
	}
}

// Wait returns the answer, or the error of ctx once it is done.
func (r Reply[A]) Wait(ctx context.Context) (A, error) {
	select {
	case answer := <-r.answer:
		return answer, nil
	case <-ctx.Done():
		var zero A
		return zero, ctx.Err()
	}
}

// Ask posts the event that build makes from a new reply, then waits for the answer.
// It returns ErrFull when the mailbox is full and ErrStopped when the loop has ended.
func Ask[E, A any](ctx context.Context, l *Loop[E], build func(Reply[A]) E) (A, error) {
	reply := NewReply[A]()
	err := l.Post(build(reply))
	if err != nil {
		var zero A
		return zero, err
	}
	return waitOrStopped(ctx, l, reply)
}

func waitOrStopped[E, A any](ctx context.Context, l *Loop[E], reply Reply[A]) (A, error) {
	var zero A
	select {
	case answer := <-reply.answer:
		return answer, nil
	case <-l.stopped:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
