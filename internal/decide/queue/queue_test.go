package queue_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/queue"
)

// TestScripts runs the scripts of testdata: lines of
//
//	set LIMIT AGEING SLOTS | weight ACCOUNT N | at TIME | push ID ACCOUNT RANK COST [refused ID...]
//	return ID ACCOUNT RANK COST | remove ID true|false | pop ID... | settle ACCOUNT COST TOOK | len N
func TestScripts(t *testing.T) {
	b, err := os.ReadFile("testdata/order.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range strings.Split(string(b), "\n# ")[1:] {
		name, body, _ := strings.Cut(script, "\n")
		t.Run(name, func(t *testing.T) { runScript(t, body) })
	}
}

func runScript(t *testing.T, body string) {
	is := is.New(t)
	q := &queue.Queue{Weights: make(map[string]float64)}
	start := time.UnixMilli(0)
	now := start
	for _, line := range strings.Split(strings.TrimSpace(body), "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "set":
			q.Limit, q.AgeingLimit, q.Slots = parseInt(f[1]), parseDuration(f[2]), float64(parseInt(f[3]))
		case "weight":
			q.Weights[f[1]] = float64(parseInt(f[2]))
		case "at":
			now = start.Add(parseDuration(f[1]))
		case "push":
			refused := []string{}
			for _, it := range q.Push(parseItem(f, now), now) {
				refused = append(refused, it.ID)
			}
			is.Equal(refused, append([]string{}, f[min(5, len(f)):]...)) // refused
		case "return":
			q.Requeue(parseItem(f, now))
		case "remove":
			is.Equal(fmt.Sprint(q.Remove(f[1])), f[2])
		case "settle":
			q.CorrectCharge(queue.Item{Account: f[1], Cost: parseDuration(f[2])}, parseDuration(f[3]))
		case "len":
			is.Equal(q.Len(), parseInt(f[1]))
		case "pop":
			for _, want := range f[1:] {
				it, _ := q.Pop(now)
				is.Equal(it.ID, want) // popped
			}
		}
	}
}

func parseItem(f []string, now time.Time) queue.Item {
	return queue.Item{ID: f[1], Account: f[2], Rank: parseInt(f[3]), Cost: parseDuration(f[4]), Arrived: now}
}

func parseInt(s string) int {
	n := 0
	_, _ = fmt.Sscan(s, &n)
	return n
}

func parseDuration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

// TestEveryItemLeavesOnce pushes, pops and removes at random and checks that
// every item leaves the queue exactly once and that the queue keeps its limit
// and its total cost.
func TestEveryItemLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue.Queue{Limit: 20, Weights: map[string]float64{"a": 3, "b": 1}}
		now := time.UnixMilli(0)
		in, out := 0, 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				it := queue.Item{
					ID: fmt.Sprint(i), Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Cost: time.Second, Arrived: now,
				}
				in++
				out += len(q.Push(it, now))
			case 2:
				if _, ok := q.Pop(now); ok {
					out++
				}
			case 3:
				if q.Remove(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "removed"))) {
					out++
				}
			}
			if in-out != q.Len() || q.Len() > q.Limit {
				t.Fatalf("in %d, out %d, len %d", in, out, q.Len())
			}
		}
		if want := time.Duration(q.Len()) * time.Second; q.TotalCost() != want {
			t.Fatalf("work %v, want %v", q.TotalCost(), want)
		}
	})
}

func TestEstimator(t *testing.T) {
	is := is.New(t)
	var e queue.Estimator
	is.Equal(e.Cost("check", 0), time.Second)
	is.Equal(e.Cost("check", time.Minute), time.Minute)
	for range 5 {
		e.Observe("check", 100*time.Millisecond)
	}
	is.Equal(e.Cost("check", time.Minute), 100*time.Millisecond) // an estimate takes precedence over the declaration
}
