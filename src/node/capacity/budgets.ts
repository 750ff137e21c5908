/** Control cost of each role at the target size: slope times size. */
import type {Results} from './results.js';
import {
  BUDGET,
  DAY_S,
  HEARTBEATS_PER_SECOND,
  PER_DOMAIN,
  PER_ENTRY,
  POLL_S,
  RECORD_VOTERS,
  TARGET,
  VIEWS_PER_SECOND,
  WATCH_S,
  WATCHERS_PER_DOMAIN,
} from './targets.js';

/** One term of a sum; `cpuShare` is of one core. */
export interface Term {
  readonly what: string;
  readonly formula: string;
  readonly cpuShare: number;
  readonly bytesPerSecond: number;
}

/** What control costs in one role. */
export interface RoleCost {
  readonly role: string;
  readonly terms: readonly Term[];
  /** Memory that control adds, live data on the heap. */
  readonly heapBytes: number;
  /** Resident memory above a bare process; for entries without load. */
  readonly residentBytes: number;
  readonly memoryFormula: string;
}

const MICROS = 1e6;
/** Body of one empty `append` in characters, from `replication` at rest. */
function heartbeatChars(results: Results): number {
  const {bytesPerSecond = 0, messagesPerSecond = 1} =
    results.replication.figures.idle;
  return bytesPerSecond / messagesPerSecond / 2;
}

function rpcBytes(results: Results, chars: number): number {
  const {bytes} = results.rpc.figures;
  return bytes.base + bytes.slope * chars;
}

function atTarget(results: Results) {
  const figures = results.membership.figures.find(
    ({nodes}) => nodes === TARGET.nodes,
  );
  if (figures === undefined) throw new Error('membership at 360 is missing');
  return figures;
}

function gossip(results: Results): Term {
  const {callerMicros, calleeMicros} = results.rpc.figures;
  const figures = atTarget(results);
  const calls = Object.values(figures.callsPerSecondByMethod).reduce(
    (sum, value) => sum + value,
    0,
  );
  const callMicros = (callerMicros.base + calleeMicros.base) / 2;
  return {
    what: 'gossip, counts and summaries',
    formula:
      `${figures.cpuShare.toFixed(4)} (measured at ${TARGET.nodes} nodes) + ` +
      `${calls.toFixed(2)} calls/s × ${callMicros.toFixed(0)} µs of HTTP`,
    cpuShare: figures.cpuShare + (calls * callMicros) / MICROS,
    bytesPerSecond: figures.bytesPerSecondMean,
  };
}

function polls(results: Results): Term {
  const {cpuShare, bytesPerSecond} = results.polls.figures;
  const rate = PER_ENTRY.polledWorkers / POLL_S;
  return {
    what: 'load polls',
    formula:
      `${rate.toFixed(2)} workers polled × ${(cpuShare.slope * 1e6).toFixed(0)} µs/s, ` +
      `${bytesPerSecond.slope.toFixed(0)} B/s each`,
    cpuShare: rate * cpuShare.slope,
    bytesPerSecond: rate * bytesPerSecond.slope,
  };
}

function timers(results: Results): Term {
  const {cpuShare} = results.polls.figures;
  return {
    what: 'timers and refresh of an entry at rest',
    formula: `base of the line over engines, ${cpuShare.base}`,
    cpuShare: Math.max(0, cpuShare.base),
    bytesPerSecond: 0,
  };
}

function views(results: Results): Term {
  const {viewMicros} = results.fleetView.figures;
  const micros = viewMicros.base + viewMicros.slope * TARGET.workers;
  return {
    what: 'views of the other domains',
    formula: `${VIEWS_PER_SECOND}/s × ${micros.toFixed(0)} µs at ${TARGET.workers} workers`,
    cpuShare: (VIEWS_PER_SECOND * micros) / MICROS,
    bytesPerSecond: 0,
  };
}

function changes(
  results: Results,
  cpu: string,
  bytes: string,
  watchers: boolean,
): Term {
  const {figures} = results.changes;
  const at = (key: string): number => {
    const line = figures[key];
    return line === undefined ? 0 : line.base + line.slope * TARGET.workspaces;
  };
  const rate = TARGET.changesPerDay / DAY_S;
  return {
    what: 'changes of the configuration',
    formula:
      `${TARGET.changesPerDay}/86,400 s × (${at(cpu).toFixed(0)} ms, ` +
      `${(at(bytes) / 1_000).toFixed(0)} kB)${watchers ? ', mean over the day' : ''}`,
    cpuShare: (rate * at(cpu)) / 1_000,
    bytesPerSecond: rate * at(bytes),
  };
}

function watch(results: Results): Term {
  const {callerMicros} = results.rpc.figures;
  return {
    what: 'config.watch',
    formula: `1 call in ${WATCH_S} s × ${callerMicros.base} µs`,
    cpuShare: callerMicros.base / MICROS / WATCH_S,
    bytesPerSecond: rpcBytes(results, 60) / WATCH_S,
  };
}

function heartbeats(results: Results, leads: boolean): Term {
  const {callerMicros, calleeMicros} = results.rpc.figures;
  const calls = HEARTBEATS_PER_SECOND * (leads ? RECORD_VOTERS - 1 : 1);
  const micros = leads ? callerMicros.base : calleeMicros.base;
  return {
    what: `heartbeats of the record group (${leads ? 'leader' : 'follower'})`,
    formula: `${calls} calls/s × ${micros} µs, ${rpcBytes(results, heartbeatChars(results)).toFixed(0)} B each`,
    cpuShare: (calls * micros) / MICROS,
    bytesPerSecond: calls * rpcBytes(results, heartbeatChars(results)),
  };
}

function entryMemory(
  results: Results,
): Pick<RoleCost, 'heapBytes' | 'residentBytes' | 'memoryFormula'> {
  const {slope} = results.workspaces.figures.heapBytes;
  const {heapBytesPerNode} = atTarget(results);
  const {runtime, entry} = results.baselines.figures;
  return {
    residentBytes: entry.rssBytes - runtime.rssBytes,
    heapBytes: heapBytesPerNode + slope * TARGET.workspaces,
    memoryFormula:
      `${(heapBytesPerNode / 1e6).toFixed(2)} MB of membership + ` +
      `${TARGET.workspaces} × ${slope.toFixed(0)} B of configuration`,
  };
}

function controlMember(results: Results, leads: boolean): RoleCost {
  const figures = results.controlGroups.figures;
  const [cpu, bytes] = leads
    ? [figures.leaderCpuShare, figures.leaderBytesPerSecond]
    : [figures.followerCpuShare, figures.followerBytesPerSecond];
  const at = ({base, slope}: {base: number; slope: number}): number =>
    base + slope * TARGET.controlMembers;
  const watchers = WATCHERS_PER_DOMAIN * TARGET.domains;
  const calls = watchers / WATCH_S / TARGET.controlMembers;
  const {calleeMicros} = results.rpc.figures;
  const heap = results.changes.figures['controlHeapBytes'];
  const rss = results.changes.figures['controlRssBytes'];
  const residentBytes =
    (rss?.base ?? 0) +
    (rss?.slope ?? 0) * TARGET.workspaces -
    results.baselines.figures.runtime.rssBytes;
  const heapBytes =
    (heap?.base ?? 0) +
    (heap?.slope ?? 0) * TARGET.workspaces -
    results.baselines.figures.runtime.heapBytes;
  return {
    role: leads ? 'control member, leader' : 'control member, follower',
    terms: [
      {
        what: 'heartbeats of a group of 7',
        formula: `${cpu.base} + 7 × ${cpu.slope} of a core`,
        cpuShare: at(cpu),
        bytesPerSecond: at(bytes),
      },
      {
        what: 'config.watch of 28 watchers',
        formula: `${calls.toFixed(2)} calls/s × ${calleeMicros.base} µs`,
        cpuShare: (calls * calleeMicros.base) / MICROS,
        bytesPerSecond: calls * rpcBytes(results, 60),
      },
      changes(
        results,
        leads ? 'leaderCpuMs' : 'followerCpuMs',
        'leaderIoBytes',
        false,
      ),
    ],
    heapBytes,
    residentBytes,
    memoryFormula: `heap after changes at ${TARGET.workspaces} workspaces, less that of a bare process; program code included`,
  };
}

/** All roles at the target size. */
export function roleCosts(results: Results): readonly RoleCost[] {
  const base = [
    timers(results),
    views(results),
    gossip(results),
    polls(results),
    changes(results, 'entryCpuMs', 'entryIoBytes', true),
  ];
  const memory = entryMemory(results);
  const {bytesPerSecondMax, bytesPerSecondMean} = atTarget(results);
  const builder: Term = {
    what: 'more summaries than an ordinary entry',
    formula: `${bytesPerSecondMax} - ${bytesPerSecondMean} B/s (busiest node of the same run)`,
    cpuShare: 0,
    bytesPerSecond: bytesPerSecondMax - bytesPerSecondMean,
  };
  return [
    {role: 'entry', terms: base, ...memory},
    {
      role: 'entry, watcher and summary builder',
      terms: [...base, builder, watch(results)],
      ...memory,
    },
    {
      role: 'entry, record follower',
      terms: [...base, heartbeats(results, false)],
      ...memory,
    },
    {
      role: 'entry, record leader',
      terms: [...base, heartbeats(results, true)],
      ...memory,
    },
    controlMember(results, true),
    controlMember(results, false),
  ];
}

/** The totals of a role and whether each budget is met. */
export function totals(cost: RoleCost) {
  const sum = (key: 'cpuShare' | 'bytesPerSecond'): number =>
    cost.terms.reduce((total, term) => total + term[key], 0);
  return [
    {what: 'processor', value: sum('cpuShare'), limit: BUDGET.cpuShare},
    {
      what: 'bytes/s',
      value: sum('bytesPerSecond'),
      limit: BUDGET.bytesPerSecond,
    },
    {
      what: 'memory, live data',
      value: cost.heapBytes,
      limit: BUDGET.memoryBytes,
    },
    {
      what: 'memory, resident above bare Node',
      value: cost.residentBytes,
      limit: BUDGET.memoryBytes,
    },
  ];
}

export const RECORD_SHARES = [0.01, 0.05, 0.15];

/** Records of a day in one domain, by the share of non-idempotent requests. */
export function recordsOfADay(results: Results, share: number) {
  const {
    stateBytesPerRecord = 0,
    snapshotMs = 0,
    stringifyMs = 0,
    snapshotBytes = 0,
    records = 1,
  } = results.records.figures;
  const perSecond = PER_DOMAIN.requestsPerSecond * share;
  const kept = perSecond * DAY_S;
  const blockedMs = ((snapshotMs + stringifyMs) * kept) / records;
  return {
    share,
    perSecond,
    kept,
    heapBytes: kept * stateBytesPerRecord,
    snapshotBytes: (kept * snapshotBytes) / records,
    blockedMs,
    perWorkspace: kept / PER_DOMAIN.workspaces,
  };
}
