"""Rows of the tables in docs/CAPACITY.md: which figures are extrapolated to which value of the design scale."""

import dataclasses
import math
import typing

ENTRIES = 350
ENGINES = 2000
ZONES = 6
MODELS = 9
REQUESTS_PER_SECOND = 18000
TOKENS_PER_SECOND = 3.8e6
TEAMS = 12000
LOCAL_LINKS, REMOTE_LINKS, PEER_LINKS = 16, 4, 8  # app/entry/link_set.cpp and app/entry/peer_set.cpp

ENGINES_PER_ZONE_AND_MODEL = ENGINES / ZONES / MODELS
AGENT_LINKS = MODELS * (min(LOCAL_LINKS, ENGINES_PER_ZONE_AND_MODEL) + REMOTE_LINKS)
PEER_CONNECTIONS = 2 * PEER_LINKS  # mean number of opened and accepted connections
LINKS_PER_AGENT = ENTRIES * AGENT_LINKS / ENGINES
CLAIM_WRITES_PER_ENTRY = 2  # claim::CommitOptions::transactionsPerSecond
READERS_PER_ZONE = 2  # bundle::DistributorOptions
LEASE_READ_SECONDS = 7.5  # mean of lease::Lease::pollDelay
FALLBACK_POLL_SECONDS = 30  # bundle::DistributorOptions::fallbackPollInterval
USAGE_BUFFER_MIB = 48  # usage::LedgerOptions::maxBufferedBytes

CPU, CONTROL = 1.4, 5000  # % of a core, bytes/s
MEMORY = 128e6 / 2**20  # MiB
STORE_READS, STORE_WRITES = 200, 30  # a tenth of the store's 2,000 reads/s and 300 writes/s ("several hundred")

RUNS = (("scale", "scale."), ("serve", "serve."), ("usage", "usage_"), ("bundle", "bundle_"), ("routing", "routing."),
        ("limit", "limit."), ("membership", "membership."), ("delivery", "delivery_"), ("suspect", "suspect_"),
        ("claim", "claim_"), ("store", "store_known"), ("expert", "expert."))


@dataclasses.dataclass
class Measured:
    """A figure that is measured at several sizes and extrapolated along a line."""

    key: str
    title: str
    figure: str
    target: float
    axis: str
    unit: str
    mechanism: str
    against: typing.Optional[tuple] = None
    budget: typing.Optional[float] = None
    carrier: str = ""
    bench: str = "scale"


@dataclasses.dataclass
class Sum:
    """A sum of extrapolated and measured figures."""

    key: str
    title: str
    unit: str
    budget: float
    carrier: str
    terms: dict


HEARTBEATS = "fewer links per entry or heartbeats that share one message per connection and carry only changes"
ENTRY_LINKS = ("scale.entry.links_agent", "scale.entry.links_peer")
AGENT_LINK_AXIS = ("scale.agent.links_entry",)

MEASURED = (
    Measured("entry_cpu", "CPU of an idle entry", "scale.entry.cpu", AGENT_LINKS + PEER_CONNECTIONS, "links",
             "% of a core", "`entry::LinkSet`, `entry::PeerSet`, `transport::Session`", ENTRY_LINKS, CPU, HEARTBEATS),
    Measured("agent_cpu", "CPU of an idle agent", "scale.agent.cpu", LINKS_PER_AGENT, "links", "% of a core",
             "`agent::Agent`, `agent::TargetMonitor`", AGENT_LINK_AXIS, CPU, HEARTBEATS),
    Measured("entry_memory", "memory of an idle entry, 2 teams", "scale.entry.memory", AGENT_LINKS + PEER_CONNECTIONS,
             "links", "MiB", "`entry::LinkSet`, `entry::Tables`", ENTRY_LINKS, MEMORY, "smaller sessions"),
    Measured("entry_teams", "memory of an entry after rolls, by teams", "scale.entry.memory_by_teams_after_rolls",
             TEAMS, "teams", "MiB", "`bundle::Replica`, `limit::TeamLimiter`", None, MEMORY,
             "a snapshot that shares unchanged parts with the encoded bundle"),
    Measured("agent_memory", "memory of an idle agent", "scale.agent.memory", LINKS_PER_AGENT, "links", "MiB",
             "`agent::Agent`", AGENT_LINK_AXIS, MEMORY, "smaller sessions"),
    Measured("entry_bytes_agents", "bytes sent by an entry to agents", "scale.entry.bytes_agent", AGENT_LINKS,
             "links", "bytes/s", "`entry::LinkSet`, `entry::HeartbeatSource`", ("scale.entry.links_agent",), CONTROL,
             HEARTBEATS),
    Measured("entry_bytes_peers", "bytes sent by an entry to peers", "scale.entry.bytes_peer", PEER_CONNECTIONS,
             "links", "bytes/s", "`entry::PeerSet`, `entry::HeartbeatSource`", ("scale.entry.links_peer",), CONTROL,
             HEARTBEATS),
    Measured("entry_received_agents", "bytes received by an entry from agents", "scale.entry.received_agent",
             AGENT_LINKS, "links", "bytes/s", "`agent::Agent`", ("scale.entry.links_agent",), CONTROL, HEARTBEATS),
    Measured("agent_bytes_entries", "bytes sent by an agent to entries", "scale.agent.bytes_entry", LINKS_PER_AGENT,
             "links", "bytes/s", "`agent::Agent`, `protocol::ControlStream`", AGENT_LINK_AXIS, CONTROL, HEARTBEATS),
    Measured("agent_received_entries", "bytes received by an agent from entries", "scale.agent.received_entry",
             LINKS_PER_AGENT, "links", "bytes/s", "`entry::LinkSet`", AGENT_LINK_AXIS, CONTROL, HEARTBEATS),
    Measured("agent_bytes_max", "bytes sent by the agent with the most links", "scale.agent.control_bytes_max",
             LINKS_PER_AGENT, "links in the mean", "bytes/s", "`agent::Agent`, `routing::chooseSubset`", AGENT_LINK_AXIS,
             CONTROL, HEARTBEATS),
    *(Measured(f"{role}_{figure}_serving", f"{title} of an {role} that serves", f"serve.{role}.{figure}",
               REQUESTS_PER_SECOND / ENTRIES, "requests/s per entry", unit, carried, bench="serve")
      for role, carried in (("entry", "`entry::RequestRun`, `delivery::AnswerChecker`"), ("agent", "`agent::AttemptRun`"))
      for figure, title, unit in (("cpu", "CPU", "% of a core"), ("memory", "memory", "MiB"))),
    Measured("store_reads", "table reads, idle", "scale.store_reads", ENTRIES, "entries", "1/s",
             "`bundle::Distributor` (2 readers per zone), `lease::Lease` (every entry)", None, STORE_READS,
             "reading the lease row only at the readers"),
    Measured("store_writes", "table writes, idle", "scale.store_writes", ENTRIES, "entries", "1/s",
             "`lease::Lease` (the holder renews)", None, STORE_WRITES, "longer lease durations"),
    Measured("object_reads", "object reads, idle", "scale.object_reads", ENTRIES, "entries", "1/s",
             "`bundle::ContentStore`", None, STORE_READS, "-"),
    Measured("object_writes", "object writes, idle", "scale.object_writes", ENTRIES, "entries", "1/s",
             "`usage::SegmentWriter`", None, STORE_WRITES, "-"),
    Measured("roll_p50", "`bundle roll` to force, p50 over entries", "scale.roll_p50", ENTRIES, "entries", "s",
             "`bundle::Distributor`, `bundle::Replica`", None, 8, "more readers per zone"),
    Measured("roll_p99", "`bundle roll` to force, p99 over entries", "scale.roll_p99", ENTRIES, "entries", "s",
             "`bundle::Distributor`, `bundle::Replica`", None, 8, "more readers per zone"),
    Measured("roll_max", "`bundle roll` to force, slowest entry", "scale.roll_max", ENTRIES, "entries", "s",
             "`bundle::Distributor`, `bundle::Replica`", None, 8, "more readers per zone"),
    Measured("roll_teams", "`bundle roll` to force at 3 entries, slowest, by teams", "scale.roll_by_teams_max", TEAMS,
             "teams", "s", "`bundle::ContentStore`, `bundle::Replica`", None, 8, "applying only changed parts"),
)

SUMS = (
    Sum("entry_control", "control bytes sent by an entry", "bytes/s", CONTROL, HEARTBEATS, {
        "entry_bytes_agents": None, "entry_bytes_peers": None,
        "store polls of a reader": lambda results: results.value("scale.entry.bytes_store", 3),
        "usage segments": lambda results: results.value("usage_entry_network_at_design_scale")}),
    Sum("entry_control_both", "control bytes of an entry, sent and received", "bytes/s", CONTROL, HEARTBEATS, {
        "entry_control": None, "entry_received_agents": None, "entry_bytes_peers": None,
        "store answers to a reader": lambda results: results.value("scale.entry.received_store", 3),
        "bundle changes": lambda results: results.value("bundle_bytes_per_second")}),
    Sum("agent_control", "control bytes sent by an agent", "bytes/s", CONTROL, HEARTBEATS, {
        "agent_bytes_entries": None,
        "usage segments": lambda results: results.value("usage_agent_network_at_design_scale")}),
    Sum("agent_control_both", "control bytes of an agent, sent and received", "bytes/s", CONTROL, HEARTBEATS, {
        "agent_control": None, "agent_received_entries": None}),
    Sum("entry_memory_all", "memory of an entry: links, 12,000 teams, open requests, full usage buffer of a store outage",
        "MiB", MEMORY, "a smaller usage buffer, or usage records that are summed while the store is down", {
            "entry_memory": None,
            "12,000 teams": lambda results: difference(results, "scale.entry.memory_by_teams_after_rolls", TEAMS, 2),
            "open requests": lambda results: open_requests_memory(results),
            "usage buffer": lambda results: USAGE_BUFFER_MIB}),
    Sum("reads_rule", "table reads, idle, by the rules of the code instead of the line", "1/s", STORE_READS,
        "choosing readers from all entries of the zone and reading the lease row only at the readers", {
            "readers of the head row": lambda results: ENTRIES * reader_share(),
            "fallback poll of the others": lambda results: ENTRIES * (1 - reader_share()) / FALLBACK_POLL_SECONDS,
            "rollout lease": lambda results: ENTRIES / LEASE_READ_SECONDS}),
    Sum("writes_all", "store writes: idle, rollouts, usage; without claims", "1/s", STORE_WRITES,
        "longer intervals between usage segments", {
            "store_writes": None,
            "usage segments": lambda results: results.value("usage_store_writes_at_design_scale"),
            "3,100 changes a day": lambda results: results.value("store_writes_per_second", ENTRIES)}),
    Sum("writes_claims", "store writes: claims, all entries at their own limit", "1/s", STORE_WRITES,
        "a claim rate per entry that is divided by the number of live entries", {
            "350 entries at 2/s": lambda results: ENTRIES * CLAIM_WRITES_PER_ENTRY}),
)


def difference(results, name, size, base):
    values = results.value(name, size), results.value(name, base)
    return None if None in values else values[0] - values[1]


def reader_share():
    """Share of entries that read the head row each second.

    An entry chooses the 2 readers of its zone only among itself and its connected peers. Many entries therefore choose
    themselves.
    """
    share = 0
    for peers in range(PEER_CONNECTIONS + 1):
        probability = math.comb(PEER_CONNECTIONS, peers) / ZONES ** peers * (1 - 1 / ZONES) ** (PEER_CONNECTIONS - peers)
        share += probability * min(1, READERS_PER_ZONE / (peers + 1))
    return share


def open_requests_memory(results):
    """Growth of an entry's memory from no load to the design load."""
    sizes = results.sizes("serve.entry.memory")
    if len(sizes) < 3:
        return None
    growth = difference(results, "serve.entry.memory", sizes[-1], sizes[0]) / (sizes[-1] - sizes[0])
    return growth * REQUESTS_PER_SECOND / ENTRIES


def size_rows(results, number):
    figures = (("processes that ran", "scale.processes"), ("targets, each with an agent", "scale.targets"),
               ("links to agents per entry", "scale.entry.links_agent"),
               ("peer connections per entry", "scale.entry.links_peer"), ("links per agent", "scale.agent.links_entry"),
               ("memory per entry, MiB", "scale.entry.memory"), ("largest", "scale.entry.memory_max"),
               ("memory per agent, MiB", "scale.agent.memory"), ("largest", "scale.agent.memory_max"),
               ("CPU per entry, % of a core", "scale.entry.cpu"), ("largest", "scale.entry.cpu_max"),
               ("CPU per agent, % of a core", "scale.agent.cpu"), ("largest", "scale.agent.cpu_max"),
               ("control bytes/s sent per entry", "scale.entry.control_bytes"),
               ("largest", "scale.entry.control_bytes_max"),
               ("with TCP/IP headers", "scale.entry.control_bytes_with_headers"),
               ("control bytes/s sent per agent", "scale.agent.control_bytes"),
               ("largest", "scale.agent.control_bytes_max"),
               ("with TCP/IP headers", "scale.agent.control_bytes_with_headers"),
               ("entries that read the head row each second", "scale.readers"), ("table reads/s", "scale.store_reads"), ("table writes/s", "scale.store_writes"),
               ("object reads/s", "scale.object_reads"), ("object writes/s", "scale.object_writes"),
               ("roll to force, p50, s", "scale.roll_p50"), ("p99, s", "scale.roll_p99"), ("max, s", "scale.roll_max"),
               ("share within 2 s", "scale.roll_within_2s"), ("samples", "scale.roll_samples"),
               ("`bundle roll` command, median, s", "scale.roll_command"),
               ("processes that did not exit with 0", "scale.unclean_exits"))
    sizes = results.sizes("scale.processes")
    return [[title, *[number(results.value(name, size)) for size in sizes]] for title, name in figures]


class Context:
    """Formats values for the rows that consist of text."""

    def __init__(self, results, raw, number):
        self.results = results
        self.raw = raw
        self.number = number

    def at_scale(self, key):
        return self.number(self.raw[key])

    def verdict(self, budget, *keys):
        """Result for the largest of several values."""
        values = [self.raw[key] for key in keys]
        if None in values:
            return "not measured"
        share = 100 * max(values) / budget
        return f"{'**does not fit yet**' if share > 100 else 'fits'} ({share:.0f}% of the budget)"

    def bench(self, name, size=None):
        return self.number(self.results.value(name, size))

    def sizes(self, name):
        """Values at all measured sizes."""
        points = self.results.points(name)
        return "; ".join(f"{self.number(x)}: {self.number(y)}" for x, y in points) or "not measured"


def scale_rows(context):
    """One row for each figure of the design scale."""
    bench, scale, sizes = context.bench, context.at_scale, context.sizes
    run = "`scripts/bench --only {}`".format
    return [
        ("350 daemons", "measured to 60 entries and 74 agents; extended",
         f"CPU {scale('entry_cpu')}%, memory {scale('entry_memory')} MiB, control {scale('entry_control')} bytes/s sent "
         "per entry; see sums for the result", run("scale"), "`entry::PeerSet` (8 links opened), `entry::LinkSet`"),
        ("2,000 engines", "tables measured at 2,000; links extended; 2,000 agents never ran at once",
         f"{AGENT_LINKS:.0f} agent links per entry, {LINKS_PER_AGENT:.1f} links per agent; decision "
         f"{bench('routing.decision')} ns; membership {bench('membership.memory_per_target')} bytes and routing "
         f"{bench('routing.memory_per_target')} bytes per target", f"{run('routing')}, {run('membership')}",
         "`routing::chooseSubset`, `routing::Router`, `membership::TargetTable`"),
        ("16,000 accelerators", "one group of 256 ranks measured; 62 groups at once **not measured**",
         f"62 groups × {bench('expert.planning_scarce_memory.time', 256)} s (scarce memory) of planning on one core per planning round",
         run("expert"), "`expert::Planner`; no daemon runs it yet"),
        ("18,000 requests/s", "decisions measured; 3 entries at the load of one entry each; all 350 at once **not measured**",
         f"CPU by requests/s per entry: entry {sizes('serve.entry.cpu')}%, agent {sizes('serve.agent.cpu')}%; share "
         f"completed {sizes('serve.completed_share')}; {REQUESTS_PER_SECOND / ENTRIES:.1f} requests/s per entry, "
         f"{REQUESTS_PER_SECOND / ENGINES:.0f} per agent; "
         f"routing {bench('routing.decision')} ns, limits {bench('limit.team_decision')} ns, admission at the agent "
         f"{bench('delivery_admit_and_finish')} ns, usage {bench('usage_cpu_per_request_entry')} ns (entry) and "
         f"{bench('usage_cpu_per_request_agent')} ns (agent) per request",
         f"{run('serve')}, {run('routing')}, {run('limit')}, {run('delivery')}, {run('usage')}",
         "`routing::Router`, `limit::TeamLimiter`, `delivery::Gate`, `usage::Ledger`"),
        ("3.8 million tokens/s", "frame check measured; relay at the rate of 3 entries; 350 at once **not measured**",
         f"tokens/s of 3 entries by requests/s per entry: {sizes('serve.tokens_per_second')}; "
         f"{TOKENS_PER_SECOND / ENTRIES:,.0f} tokens/s per entry, {TOKENS_PER_SECOND / ENGINES:,.0f} per agent; check of "
         f"one frame, by bytes: {sizes('delivery_frame_check')} ns", f"{run('serve')}, {run('delivery')}",
         "`delivery::AnswerChecker`, `agent::AnswerRelay`"),
        ("p95 0.95 s to first token", "3 entries at the load of one entry each, idle stand-in engines; queueing simulated",
         f"p95 by requests/s per entry: {sizes('serve.first_token_p95')} ms with engines that start "
         f"without delay; p99 queueing delay by requests/s in the model of docs/routing.md: {queueing(context)}",
         f"{run('serve')}, {run('routing')}",
         "`routing::Router`, `routing::PoolQueues`"),
        ("36 ms between tokens", "3 entries at the load of one entry each; engines send every 30 ms",
         f"p95 by requests/s per entry: {sizes('serve.between_tokens_p95')} ms", run("serve"),
         "`agent::AnswerRelay`, `entry::RequestRun`"),
        ("256 ranks a group, 128 experts", "measured at 32 to 256 ranks, 60 layers; not wired into a daemon",
         f"planning time by ranks: {sizes('expert.planning_equal_memory.time')} s, with scarce memory "
         f"{sizes('expert.planning_scarce_memory.time')} s (goal 1 s) for {sizes('expert.planning_scarce_memory.moves')} "
         f"moves; growth from 32 to 256 ranks "
         f"{growth_verdict(context)}; step header during a change "
         f"{bench('expert.header_time_during_change')} us", run("expert"),
         "`expert::Planner`, `expert::Decider`, `expert::RankAgent`"),
        ("12,000 teams", "measured at 12,000",
         f"entry memory by teams: {sizes('scale.entry.memory_by_teams_after_rolls')} MiB; limiter "
         f"{bench('limit.memory_per_team')} bytes per team; whole bundle {bench('bundle_apply_whole')} ms, one change "
         f"{bench('bundle_apply_one_change')} ms", f"{run('scale')}, {run('limit')}, {run('bundle')}",
         "`bundle::Replica`, `limit::TeamLimiter`"),
        ("9 models", "2 models on real processes; 9 in the subset benchmark",
         f"change of membership with 2,000 targets and 9 models {bench('routing.membership_update')} us; "
         f"{AGENT_LINKS:.0f} links", run("routing"), "`routing::chooseSubset`, `entry::LinkSet`"),
        ("3 regions, 6 zones", "3 zones of one region measured; network delay between zones **not measured**",
         f"readers of the store by intent: {READERS_PER_ZONE * ZONES}; by the peers that each entry knows: "
         f"{ENTRIES * reader_share():.0f}", run("scale"), "`bundle::Distributor`, `routing::Router`"),
        ("3,100 changes a day in force within 8 s", "single rolls measured; extended. **A cold start does not fit yet**",
         f"share of entries with a bundle 8 s after a start of all entries, by teams: "
         f"{sizes('scale.cold_start_in_force')} (the store client's operation budget ends a load; commit 90d98d4, not in "
         f"these runs, continues it); slowest entry at 3 to 60 entries, not growing: {scale('roll_max')} s; at "
         f"12,000 teams and 3 entries: "
         f"{bench('scale.roll_by_teams_max', TEAMS)} s; 350 entries with 12,000 teams and 2,000 targets at once "
         "**not measured**", run("scale"), "`bundle::Distributor`, `bundle::RolloutConfirmer`"),
        ("99.9% within 2 s inside a region (goal)", "measured share, by entries",
         f"{sizes('scale.roll_within_2s')}; samples {sizes('scale.roll_samples')} (too few to prove 99.9%)", run("scale"),
         "`bundle::Distributor`"),
        ("1.4% of a core per daemon", "idle measured and extended; CPU under load is not control (see serving rows)",
         f"{context.verdict(CPU, 'entry_cpu', 'agent_cpu')}; entry {scale('entry_cpu')}%, agent "
         f"{scale('agent_cpu')}%", run("scale"), "`entry::LinkSet`, `agent::Agent`"),
        ("128 MB per daemon", "measured and extended; the sum of the parts never ran together",
         f"{context.verdict(MEMORY, 'entry_memory_all', 'agent_memory')}; entry {scale('entry_memory')} MiB by links, "
         f"{scale('entry_memory_all')} MiB with teams, open requests and a full usage "
         f"buffer; agent {scale('agent_memory')} MiB", run("scale"), "`entry::Tables`, `usage::Ledger`"),
        ("5 KB/s of control traffic per daemon", "idle measured and extended",
         f"{context.verdict(CONTROL, 'entry_control', 'agent_control')}, sent bytes alone; entry "
         f"{scale('entry_control')} bytes/s sent, {scale('entry_control_both')} in both directions; agent "
         f"{scale('agent_control')} sent, {scale('agent_control_both')} in both; without TCP/IP headers and strikes",
         f"{run('scale')}, {run('usage')}, {run('bundle')}", "`entry::HeartbeatSource`, `agent::Agent`"),
        ("37 failures a day", "behaviour tested by scripts/system-test; rate **not measured**",
         f"a dead target gets nothing new after {bench('membership.dead_target_unused_after')} s (simulated)",
         run("membership"), "`membership::TargetTable`, `routing::Router`"),
        ("790 restarts or replacements a day", "drain tested by scripts/system-test; rate **not measured**",
         f"a leaving target gets nothing new after {bench('membership.leaving_target_unused_after')} s; one change of "
         f"membership costs {bench('routing.membership_update')} us per entry (one in 109 s)",
         f"{run('membership')}, {run('routing')}", "`membership::TargetTable`, `routing::chooseSubset`"),
        ("loss of a rack or switch", "a third of the targets failing simulated; real loss **not measured**",
         f"{bench('routing.retry_amplification')} attempts per request, {bench('routing.success_with_third_failing')} "
         "successful", run("routing"), "`routing::RetryBudget`, outlier ejection"),
        ("loss of a zone", "spill-over tested in modules; at the design scale **not measured**",
         f"over-admission when all entries are isolated, by entries: {sizes('limit.over_admission_when_isolated')}",
         run("limit"), "`routing::Router` (spill-over), `limit::TeamLimiter`"),
        ("loss of a region link", "**not measured**; regions are not modelled beyond `zone.region`", "-", "-",
         "`bundle::Distributor`, `membership::TargetTable`"),
        ("several hundred store writes/s, under 10% used", "measured and extended; 300/s assumed",
         f"{context.verdict(STORE_WRITES, 'writes_all', 'writes_claims')}; {scale('writes_all')}/s without claims; claims "
         f"up to {scale('writes_claims')}/s",
         f"{run('scale')}, {run('usage')}, {run('bundle')}", "`lease::Lease`, `usage::SegmentWriter`, `claim::GroupCommit`"),
        ("2,000 store reads/s, under 10% used", "measured and extended",
         f"{context.verdict(STORE_READS, 'store_reads', 'reads_rule')}; {scale('store_reads')}/s idle by the line, "
         f"{scale('reads_rule')}/s by the rules of the code; by entries {sizes('scale.store_reads')}; repeats of claims "
         "**not measured**",
         run("scale"), "`bundle::Distributor`, `lease::Lease`"),
    ]


def queueing(context):
    names = [name for name in context.results.values if name.endswith(".queueing_delay_p99")]
    return "; ".join(f"{name.removesuffix('.queueing_delay_p99')} {context.sizes(name)}" for name in names) or "not measured"


def growth_verdict(context):
    texts = []
    for case in ("equal", "scarce"):
        name = f"expert.planning_{case}_memory.growth"
        value, limit = context.results.value(name), context.results.baseline(name)
        if value is None:
            return "not measured"
        verdict = "fits" if value <= limit else "**does not fit yet**; fewer or cheaper moves per plan would carry it"
        texts.append(f"with {case} memory {context.number(value)} of {context.number(limit)} (n log n): {verdict}")
    return "; ".join(texts)


def usage_verdict(context):
    minutes = context.results.value("usage_verify_day_at_peak")
    if minutes is None:
        return "not measured"
    return "fits 10 min" if minutes < 10 else "**does not fit yet** (goal 10 min): verifying hours in parallel would carry it"


def role_rows(context):
    """One row for each role: processes, duties held by lease, the operator's tool and the platform."""
    bench, scale, sizes = context.bench, context.at_scale, context.sizes
    run = "`scripts/bench --only {}`".format
    return [
        ("entry", f"{AGENT_LINKS + PEER_CONNECTIONS:.0f} links, 12,000 teams, 2,000 targets, open requests",
         f"{AGENT_LINKS + PEER_CONNECTIONS:.0f} heartbeats/s sent, as many received; {scale('entry_control')} bytes/s",
         f"idle {scale('entry_cpu')}% of a core", f"{scale('entry_memory')} MiB; {scale('entry_memory_all')} MiB at the bound",
         "`app/entry`: `Entry`, `LinkSet`, `PeerSet`", run("scale")),
        ("agent", f"{LINKS_PER_AGENT:.1f} links, attempts of the last lifetime "
         f"({bench('delivery_memory_per_record')} bytes each)",
         f"{LINKS_PER_AGENT:.1f} heartbeats/s sent, as many received; {scale('agent_control')} bytes/s; 4 probes/s of the "
         "target", f"idle {scale('agent_cpu')}% of a core", f"{scale('agent_memory')} MiB",
         "`app/agent`: `Agent`, `TargetMonitor`; `delivery::Gate`", f"{run('scale')}, {run('delivery')}"),
        ("duty: rollout", "one lease row; versions of all peers",
         f"lease reads by every entry, {ENTRIES / LEASE_READ_SECONDS:.0f} reads/s; "
         f"{bench('store_writes_per_second', ENTRIES)} writes/s with 3,100 changes a day",
         f"one change {bench('bundle_apply_one_change')} ms; not separable from the entry's idle CPU", "in the entry",
         "`bundle::RolloutConfirmer`, `lease::Lease`", f"{run('scale')}, {run('bundle')}"),
        ("duty: expert planning", "loads of 256 ranks × 128 experts × 60 layers per group", "**not built** into a daemon",
         f"{bench('expert.planning_equal_memory.time', 256)} s per group and plan, "
         f"{bench('expert.planning_scarce_memory.time', 256)} s with scarce memory", "not measured",
         "`expert::Planner`, `expert::WeightPacer` (libraries)", run("expert")),
        ("duty: usage summaries", "segments of one hour", "**not built** into a daemon",
         f"a day at peak load verified on one core, by records read: {sizes('usage_verify_day_at_peak')} min; largest: "
         f"{usage_verdict(context)}",
         "not measured",
         "`usage::Compactor`, `usage::Verifier` (libraries)", run("usage")),
        ("operator's tool", "one bundle file",
         f"{bench('bundle_bytes_per_change')} bytes per change of one team", f"parse {bench('bundle_parse_toml')} ms, "
         f"check {bench('bundle_check')} ms, encode and hash {bench('bundle_encode_and_hash')} ms at 12,000 teams; "
         f"`bundle roll` {bench('scale.roll_command', 60)} s", "not measured", "`app/ctl`, `bundle::Operations`",
         f"{run('bundle')}, {run('scale')}"),
        ("table service", "head, versions, leases, claims",
         f"{scale('reads_rule')} reads/s of 200 by the rules of the code; {scale('writes_all')} writes/s of 30 with object writes of usage; "
         f"claims up to {scale('writes_claims')}/s", "platform's", "platform's", "`store::Client`",
         f"{run('scale')}, {run('bundle')}"),
        ("object store", "bundle parts, usage segments, stored answers",
         f"{scale('object_reads')} reads/s and {scale('object_writes')} writes/s idle; "
         f"{bench('usage_store_writes_at_design_scale')} segments/s, "
         f"{bench('usage_store_bytes_at_design_scale')} bytes/s at peak", "platform's", "platform's",
         "`store::Client`, `usage::SegmentWriter`", f"{run('scale')}, {run('usage')}"),
        ("instance list", "-", "**not read** by a daemon: targets come from the bundle, liveness from streams", "-", "-",
         "-", "-"),
        ("weight store", "transfers in the pacer's queue",
         f"paced in the library; **no daemon loads it**. Moved experts of one plan at 256 ranks: "
         f"{bench('expert.planning_equal_memory.moves', 256)}, with scarce memory "
         f"{bench('expert.planning_scarce_memory.moves', 256)}; the size of an expert is not stated", "-", "-", "`expert::WeightPacer`", run("expert")),
    ]
