package loop

import "context"

// Reply carries the answer to one question back from the loop. The handler
// answers at once or keeps the Reply and answers later, exactly once.
type Reply[A any] struct {
	answer chan A
}

// NewReply returns a reply that nobody has answered yet.
func NewReply[A any]() Reply[A] {
	return Reply[A]{answer: make(chan A, 1)}
}

// Answer gives the answer. It never blocks; a second answer is dropped.
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
		var none A
		return none, ctx.Err()
	}
}

// Ask posts the event that build makes from a new reply, then waits for the
// answer. It returns ErrFull or ErrStopped when the event can't be handed in.
func Ask[E, A any](ctx context.Context, l *Loop[E], build func(Reply[A]) E) (A, error) {
	reply := NewReply[A]()
	err := l.Post(build(reply))
	if err != nil {
		var none A
		return none, err
	}
	return waitOrStopped(ctx, l, reply)
}

func waitOrStopped[E, A any](ctx context.Context, l *Loop[E], reply Reply[A]) (A, error) {
	var none A
	select {
	case answer := <-reply.answer:
		return answer, nil
	case <-l.stopped:
		return none, ErrStopped
	case <-ctx.Done():
		return none, ctx.Err()
	}
}
