package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// newBenchLimiter returns a Limiter with n organisations, their names, and the usage of every
// second one as a hub reports it.
func newBenchLimiter(n int) (*Limiter, []string, []Usage) {
	var list []*model.Organisation
	var names []string
	var usages []Usage
	for i := range n {
		name := fmt.Sprint("organisation-", i)
		names = append(names, name)
		list = append(list, &model.Organisation{Name: name, Limit: model.Limit{Rate: 1e6, Burst: 1e6}})
		if i%2 == 0 {
			usages = append(usages, Usage{HashOrganisation(name), 3, 3})
		}
	}
	table, err := model.NewOrganisations(list, nil)
	if err != nil {
		panic(err)
	}
	l := NewLimiter()
	l.Update(table, testSlack, t0)
	l.SetSources(Self{Weight: 1}, []Source{{Name: "*", Weight: 11, Complete: true}}, t0)
	l.ApplyReport(Report{Reporter: "hub", Source: "*", CoveredWeight: 11, Last: 1<<32 - 1, Usages: usages}, t0.Add(time.Second))
	return l, names, usages
}

// BenchmarkTake measures the cost of one request with many concurrent callers.
func BenchmarkTake(b *testing.B) {
	l, names, _ := newBenchLimiter(10_000)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := t0.Add(time.Second)
		for i := 0; pb.Next(); i++ {
			now = now.Add(time.Microsecond)
			l.Take(names[i*7%len(names)], now)
		}
	})
}

// BenchmarkReport measures the cost of sending and receiving the reports of one interval, with
// 79 organisations of which half have requests.
func BenchmarkReport(b *testing.B) {
	l, _, usages := newBenchLimiter(79)
	b.ReportAllocs()
	for i := range b.N {
		now := t0.Add(time.Duration(i+2) * reportInterval)
		usages[i%len(usages)].Admitted = float64(i % 7)
		l.SetSources(Self{Weight: 1}, []Source{{Name: "*", Weight: 11, Complete: true}}, now)
		l.ApplyReport(Report{Reporter: "hub", Source: "*", CoveredWeight: 11, Last: 1<<32 - 1, Usages: usages}, now)
		l.Usages(true, func(string) bool { return false }, now)
	}
}
