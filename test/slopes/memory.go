package main

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/route"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// Sizes at which memory is measured. They are the sizes that the system is designed for.
const (
	blocks    = 370_000
	upstreams = 3_400 * 12
	members   = 3_200
	paths     = 20_000
	regions   = 49
)

// retained refers to all measured values, so that the garbage collector keeps them.
var retained []any

// measureMemory measures the heap that each large data structure needs.
func measureMemory(context.Context, *cli.Command) error {
	fmt.Println("machine:", machine())
	t := measureHeap("settings tree, per block", blocks, func() *tree.Tree { return blockTree(blocks) })
	measureHeap("block table of a director, per block", blocks, func() *route.Blocks { return route.NewBlocks(t, nil) })
	measureHeap("settings tree, per path with two keys", paths, pathTree)
	list := measureHeap("directory, per upstream", upstreams, directory)
	all := measureHeap("member list, per member", members, memberList)
	measureHeap("membership table, per member", members, func() *membership.Table { return memberTable(all) })
	measureHeap("snapshot of an entry, per upstream", upstreams, func() *model.Snapshot {
		return model.Compile(model.Input{Region: "region-0", Tree: t, Directory: list, Members: all})
	})
	return nil
}

// measureHeap builds a value and prints by how many bytes the heap grew, in all and per
// item. It returns the value.
func measureHeap[T any](what string, items int, build func() T) T {
	before := heapBytes()
	v := build()
	retained = append(retained, v)
	grown := heapBytes() - before
	fmt.Printf("%-42s %9d items %8.1f MB %8.1f B each\n", what, items, float64(grown)/1e6, float64(grown)/float64(items))
	return v
}

// heapBytes returns the bytes of the heap in use after garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// blockTree returns a tree of n client blocks in one path per region, as an import writes
// them.
func blockTree(n int) *tree.Tree {
	var b tree.Builder
	for i := range n {
		addr := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
		region := i % regions
		value := fmt.Sprintf("region-%d,region-%d", region, (region+1)%regions)
		b.Put(fmt.Sprintf("/blocks/region-%d", region), netip.PrefixFrom(addr, 24).String(), tree.Setting{Value: value, Revision: 1})
	}
	return b.Tree()
}

// pathTree returns a tree of paths with two keys each.
func pathTree() *tree.Tree {
	var b tree.Builder
	for i := range paths {
		p := fmt.Sprintf("/services/service-%d/regions/region-%d", i/regions, i%regions)
		b.Put(p, tree.KeyDeadline, tree.Setting{Value: "2s", Revision: uint64(i)})
		b.Put(p, tree.KeyPriority, tree.Setting{Value: "4", Revision: uint64(i)})
	}
	return b.Tree()
}

// directory returns a directory of upstreams.
func directory() model.Directory {
	d := model.Directory{Version: 1}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, model.Upstream{
			ID: fmt.Sprintf("upstream-%d", i), Service: fmt.Sprintf("service-%d", i%40),
			Region: fmt.Sprintf("region-%d", i%regions), Domain: fmt.Sprintf("domain-%d", i%101),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, byte(i>>8), byte(i)), Slots: 9, Connections: 400,
		})
	}
	return d
}

// memberList returns live members with all addresses.
func memberList() []membership.Member {
	var out []membership.Member
	for i := range members {
		ip := fmt.Sprintf("10.200.%d.%d", byte(i>>8), byte(i))
		out = append(out, membership.Member{
			ID: fmt.Sprintf("instance-%d", i), Incarnation: 1, State: membership.Alive,
			Region: fmt.Sprintf("region-%d", i%regions), Domain: fmt.Sprintf("domain-%d", i%101),
			Agent: ip + ":7070", Entry: ip + ":8000", Director: ip + ":8001",
		})
	}
	return out
}

// memberTable returns the membership table of the first member with all others in it.
func memberTable(all []membership.Member) *membership.Table {
	t := membership.NewTable(all[0], membership.DefaultConfig())
	t.AddMembers(time.Time{}, all)
	return t
}
