package queue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/policy"
)

// BenchmarkEnter measures Enter and leave while other items wait.
func BenchmarkEnter(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := newQueue(1, 8)
			far := time.Now().Add(time.Hour)
			for i := range waiting + 7*min(waiting, 1) {
				_, _ = q.join(&policy.Work{Class: "training", Model: "drafting", ExpectedTokens: 10, AllowLate: true, Deadline: far.Add(time.Duration(i*7919%1000) * time.Second)})
			}
			w := &policy.Work{Class: "lookup", Model: "drafting", ExpectedTokens: 1, Interactive: true, Deadline: far}
			b.ReportAllocs()
			for range b.N {
				leave, err := q.Enter(context.Background(), w)
				if err != nil {
					b.Fatal(err)
				}
				leave()
			}
		})
	}
}

func BenchmarkRefresh(b *testing.B) {
	for _, n := range []int{9, 90, 900} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			q, endpoints := &Queue{}, engines(n, 8)
			b.ReportAllocs()
			for range b.N {
				q.Refresh(classes, endpoints, 6)
			}
		})
	}
}
