package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Parameters of the reading of a body.
const (
	// firstBuffer is the first capacity of the buffer, in bytes.
	firstBuffer = 16 << 10
	// growth is the factor by which the buffer grows, so that little is copied and at most
	// growth times what has arrived is occupied.
	growth = 4
	// freeOverhead is how much may arrive beyond the body itself, for the framing of chunks;
	// beyond that, at most overheadFactor times the body may arrive.
	freeOverhead   = 256 << 10
	overheadFactor = 3
)

// BodyLimits are the limits of one body.
type BodyLimits struct {
	// Size is the largest size in bytes.
	Size int64
	// Pause is the longest time in which nothing arrives.
	Pause time.Duration
}

// ReadBody reads the body of a request. It returns ErrTooLarge, ErrShort, ErrSlow or ErrThin; in
// each case the rest of the body has not been read.
func ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.Size {
		return nil, ErrTooLarge.New("the body has %d bytes, at most %d are accepted", r.ContentLength, limits.Size)
	}
	paced := NewPacedBody(w, r, limits.Pause)
	body, err := readAll(r.Context(), paced, r.ContentLength, limits.Size)
	if clearErr := paced.Finish(); err == nil {
		err = clearErr
	}
	return body, err
}

// ReadAnswer reads the answer to the request that ctx belongs to, whose length is negative if it is
// not known. The memory counts as that of the request.
func ReadAnswer(ctx context.Context, answer io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge.New("the answer has %d bytes, at most %d are accepted", length, limit)
	}
	return readAll(ctx, answer, length, limit)
}

// DiscardAnswer reads an answer to its end without keeping it. Its length is negative if it is not
// known.
func DiscardAnswer(answer io.Reader, length, limit int64) error {
	if length > limit {
		return ErrTooLarge.New("the answer has %d bytes, at most %d are accepted", length, limit)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(answer, limit+1))
	if err == nil && n > limit {
		return ErrTooLarge.New("more than %d bytes", limit)
	}
	return err
}

// readAll reads length bytes, or up to limit if the length is negative. The memory counts as that of
// the request that ctx belongs to.
func readAll(ctx context.Context, reader io.Reader, length, limit int64) ([]byte, error) {
	hold := HoldOf(ctx)
	size := length
	if length < 0 {
		size = limit + 1 // to notice a longer one
	}
	var buffer []byte
	for int64(len(buffer)) < size {
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = grow(ctx, hold, buffer, nextSize(int64(cap(buffer)), size)); err != nil {
				return nil, err
			}
		}
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if length < 0 && int64(len(buffer)) > limit {
			break
		}
		if errors.Is(err, io.EOF) && (length < 0 || int64(len(buffer)) == length) {
			return trim(hold, buffer), nil
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	if length < 0 {
		return nil, ErrTooLarge.New("more than %d bytes", limit)
	}
	return buffer, nil
}

// nextSize returns the next capacity of a full buffer whose capacity is current and that may have to
// hold size bytes.
func nextSize(current, size int64) int64 {
	next := max(firstBuffer, growth*current)
	if 2*next > size {
		return size
	}
	return next
}

// grow returns a buffer of the given size with the same content.
func grow(ctx context.Context, hold *Hold, buffer []byte, size int64) ([]byte, error) {
	if err := hold.Take(ctx, size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	hold.Return(int64(cap(buffer)))
	return grown, nil
}

// trim returns a buffer that is not much larger than its content, if there is room for the copy.
func trim(hold *Hold, buffer []byte) []byte {
	if cap(buffer) <= smallHold || len(buffer) > cap(buffer)/2 || hold == nil || !hold.tryTake(int64(len(buffer))) {
		return buffer
	}
	trimmed := append(make([]byte, 0, len(buffer)), buffer...)
	hold.Return(int64(cap(buffer)))
	return trimmed
}

// PacedBody reads a body and fails with ErrSlow if it arrives too slowly, and with ErrThin if its
// chunks are too small.
type PacedBody struct {
	body    io.Reader
	control *http.ResponseController
	conn    *Conn
	pause   time.Duration
	rate    int64
	grace   time.Duration
	now     func() time.Time

	began    time.Time
	received int64 // bytes that the connection had received when the body began
	arrived  int64 // bytes of the body so far
}

// NewPacedBody returns a reader of the body of a request. pause is the longest time in which
// nothing arrives; zero sets no such limit.
func NewPacedBody(w http.ResponseWriter, r *http.Request, pause time.Duration) *PacedBody {
	p := &PacedBody{
		body: r.Body, control: http.NewResponseController(w), conn: connOf(r.Context()), pause: pause,
		rate: DefaultBodyRate, grace: DefaultBodyGrace, now: time.Now,
	}
	if p.conn != nil {
		p.rate, p.grace, p.now = p.conn.intake.limits.BodyRate, p.conn.intake.limits.BodyGrace, p.conn.intake.now
		p.received = p.conn.received.Load()
		p.conn.bodyBytes.Store(0)
	}
	p.began = p.now()
	if p.conn != nil {
		p.conn.begin(receiving)
	}
	return p
}

// Read implements io.Reader.
func (p *PacedBody) Read(b []byte) (int, error) {
	now := p.now()
	end := p.began.Add(p.grace + timeFor(p.arrived, p.rate))
	if p.pause > 0 && now.Add(p.pause).Before(end) {
		end = now.Add(p.pause)
	}
	if err := p.control.SetReadDeadline(end); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	n, err := p.body.Read(b)
	p.arrived += int64(n)
	if p.conn != nil {
		p.conn.bodyBytes.Add(int64(n))
	}
	if p.conn != nil && errors.Is(err, io.EOF) {
		p.conn.bodyRead.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.countTurnedAway(BoundBodyTime)
		return n, ErrSlow.Wrap(err, "%d bytes in %s", p.arrived, p.now().Sub(p.began).Round(time.Millisecond))
	}
	if err == nil && p.thin() {
		p.countTurnedAway(BoundChunks)
		return n, ErrThin.New("%d bytes arrived for a body of %d so far", p.conn.received.Load()-p.received, p.arrived)
	}
	return n, err
}

// thin reports whether too much arrived for the body.
func (p *PacedBody) thin() bool {
	if p.conn == nil {
		return false
	}
	received := p.conn.received.Load() - p.received
	return received-p.arrived > freeOverhead && received > overheadFactor*p.arrived
}

// countTurnedAway counts the caller if its connection is one of this package.
func (p *PacedBody) countTurnedAway(bound Bound) {
	if p.conn != nil {
		p.conn.intake.countTurnedAway(bound)
	}
}

// Finish ends the arrival of the body and removes the read deadline, so that the connection
// can be used for further requests.
func (p *PacedBody) Finish() error {
	if p.conn != nil {
		p.conn.begin(serving)
	}
	if err := p.control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}
