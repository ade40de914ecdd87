package main

// Packages of the proofs.
const (
	pkgLog     = "./internal/configlog"
	pkgAgent   = "./internal/agent"
	pkgMembers = "./internal/membership"
	pkgForward = "./internal/forward"
	pkgShare   = "./internal/share"
	pkgProofs  = "./test/proofs"
)

var ablations = []ablation{
	{"swap against the slot's version", "internal/configlog/committer.go",
		"_, err = a.store.Swap(ctx, slotKey(rec.Revision), free.version, body, 0)",
		"e, _ := a.store.Get(ctx, slotKey(rec.Revision))\n\t_, err = a.store.Swap(ctx, slotKey(rec.Revision), e.Version, body, 0)", pkgLog, "Ring|Racing|Histories"},
	{"change id looked up after a lost reply", "internal/configlog/committer.go",
		"rev != 0 {\n\t\traiseHead", "rev == 1<<63 {\n\t\traiseHead", pkgLog, "LostCall|Histories"},
	{"unknown outcome is not called refused", "internal/configlog/committer.go",
		"a.pending = rec.Revision\n", "", pkgLog, "Delayed"},
	{"check against the rebased tree", "internal/configlog/log.go",
		"if faults := next.Check(); len(faults) > 0 {", "if faults := next.Check(); false {", pkgLog, "RestrictedPair"},
	{"conflict by the path's revision", "internal/configlog/log.go",
		"if at <= c.Base || seen[e.Path] {", "if true || at <= c.Base || seen[e.Path] {", pkgLog, "RacingOperators"},
	{"reading the slot beyond the head", "internal/configlog/reader.go",
		"func (r *Reader) CatchUp(ctx context.Context) error { return catchUp(ctx, r.store, r.log) }",
		"func (r *Reader) CatchUp(ctx context.Context) error { return nil }", pkgLog, "HeadMissing"},
	{"records passed on agent to agent", "internal/agent/push.go",
		"ids = append(ids, a.rumorTargets(p)...)", "", pkgAgent, "StoreKilled"},
	{"records with the reply to a probe", "internal/agent/exchange.go",
		"reply.Records = rpc.RecordsToProto(records)", "_ = records", pkgAgent, "ReadersKilled"},
	{"trying lost instances again", "internal/agent/exchange.go",
		"if period%rejoinEvery == 0 {", "if false {", pkgAgent, "RegionsCutApart"},
	{"disputing word from outside the scope", "internal/membership/table.go",
		"return in(u) && !in(from)", "return false && in(u) && !in(from)", pkgMembers, "Disputed"},
	{"incarnations", "internal/membership/table.go",
		"t.self.Incarnation = u.Incarnation + 1", "_ = u", pkgAgent, "RestartAndReplacement|RegionsCutApart"},
	{"body that net/http cannot repeat", "internal/forward/attempt.go",
		"Body:          body,", "Body:          http.NoBody,", pkgForward, "NeverRepeated"},
	{"retry only by verdict", "internal/forward/carrier.go",
		"if err.Verdict != verdict.NotRun && !cl.safe {", "if false {", pkgForward, "Attempts|NeverLie"},
	{"whole answers read before delivery", "internal/forward/attempt.go",
		"reason := reasonBroken\n\t\tif ctx", "if ctx.Err() == nil {\n\t\t\ta.whole, a.read = body, true\n\t\t\tresp.ContentLength = int64(len(body))\n\t\t\treturn a, nil\n\t\t}\n\t\treason := reasonBroken\n\t\tif ctx", pkgForward, "Attempts|NeverLie"},
	{"aborting a cut stream", "internal/forward/carrier.go",
		"panic(http.ErrAbortHandler)", "return", pkgForward, "CutStream"},
	{"comparing the request id of the answer", "internal/forward/attempt.go",
		`echo != "" && echo != cl.id`, "false", pkgForward, "Attempts|NeverLie"},
	{"verdict by what was written", "internal/forward/transport.go",
		"return s.conn == nil || s.conn.seal()", "return true", pkgForward, "NeverLie|Attempts"},
	{"lease margin", "internal/share/keeper.go",
		"leaseMargin = 2 * time.Second", "leaseMargin = -60 * time.Second", pkgShare, "Generated"},
	{"holding a lapsed grant for the longest request", "internal/share/keeper.go",
		"k.boot()-since >= int64(hold+holdMargin)", "k.boot()-since >= 0*int64(hold+holdMargin)", pkgShare, "Generated"},
	{"swap of the ledger against its version", "internal/share/keeper.go",
		"written, err := k.store.Swap(ctx, ledgerKey(t.Region), version, body, 0)",
		"e, _ := k.store.Get(ctx, ledgerKey(t.Region))\n\twritten, err := k.store.Swap(ctx, ledgerKey(t.Region), e.Version, body, 0)", pkgShare, "RacingKeepers"},
	{"lowering the limit before the ledger", "internal/share/plan.go",
		"kept := max(need, u.Limit-floor, u.InFlight-floor, 0)", "kept := max(need, 0)", pkgShare, "Generated"},
	{"the smaller grant while a swap is unanswered", "internal/share/keeper.go",
		"l = k.smaller(l, *r.pending, t)", "_ = t", pkgShare, "Generated"},
	{"shares of a region's cap", "internal/forward/carrier.go",
		"return !svc.Capped(region) || ", "return true || !svc.Capped(region) || ", pkgProofs, "RegionStays"},
	{"drain signals", "internal/balance/group.go",
		"return now.Before(m.drainUntil) || g.draining(&m.Upstream, now)", "return false", pkgProofs, "Leaving"},
	{"leaving the look-ups before a stop", "internal/entry/report.go",
		"Leaving: leaving,", "Leaving: false && leaving,", pkgProofs, "PlannedStop"},
	{"spreading a move evenly under its share", "internal/shift/shift.go",
		"l.credit = math.Min(l.credit+share, 1)", "l.credit = math.Min(l.credit+2*share, 1)", pkgProofs, "Shift"},
	{"a newer revision is never replaced", "internal/configlog/log.go",
		"if s.Revision <= l.revision {\n\t\treturn false", "if false {\n\t\treturn false", pkgLog, "NeverFalls|Histories"},
}
