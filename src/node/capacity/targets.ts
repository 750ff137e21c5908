/** Target sizes and budgets, from section 1.5 of `docs/design.md`. */

export const TARGET = {
  nodes: 360,
  domains: 14,
  regions: 7,
  workers: 600,
  accelerators: 4_800,
  requestsPerSecond: 5_600,
  tokensPerSecond: 1_700_000,
  betweenTokensMs: 73,
  firstTokenMs: 500,
  workspaces: 420,
  models: 14,
  changesPerDay: 470,
  inForceMs: 8_000,
  controlMembers: 7,
  restartsPerDay: 270,
  failuresPerDay: 10,
} as const;

export const BUDGET = {
  cpuShare: 0.025,
  memoryBytes: 32e6,
  bytesPerSecond: 13_000,
  dedicated: 8,
} as const;

export const DAY_S = 86_400;
/** Members of a record group: at most 3 disk voters and 2 without a disk. */
export const RECORD_VOTERS = 5;
/** Heartbeats per second, `DEFAULT_HEARTBEAT_MS` of `replication/`. */
export const HEARTBEATS_PER_SECOND = 5;
/** Longest `config.watch`, `MAX_WATCH_MS` of `control/`, in seconds. */
export const WATCH_S = 2.5;
/** `config.watch` callers per domain. */
export const WATCHERS_PER_DOMAIN = 2;
/** `POLL_INTERVAL_MS` of `entry/entry_loops.ts`, in seconds. */
export const POLL_S = 1;

/** `REFRESH_INTERVAL_MS` of `entry/entry_loops.ts`. */
export const VIEWS_PER_SECOND = 10;

export const PER_DOMAIN = {
  entries: TARGET.nodes / TARGET.domains,
  workers: TARGET.workers / TARGET.domains,
  workspaces: TARGET.workspaces / TARGET.domains,
  requestsPerSecond: TARGET.requestsPerSecond / TARGET.domains,
} as const;

export const PER_ENTRY = {
  requestsPerSecond: TARGET.requestsPerSecond / TARGET.nodes,
  tokensPerSecond: TARGET.tokensPerSecond / TARGET.nodes,
  polledWorkers: TARGET.workers / TARGET.nodes,
} as const;

export const TOKENS_PER_REQUEST =
  TARGET.tokensPerSecond / TARGET.requestsPerSecond;

/**
 * Share of the largest region if the capacities of the regions grow in equal
 * steps from 1 to 10.
 */
export const LARGEST_REGION_SHARE =
  10 /
  Array.from(
    {length: TARGET.regions},
    (_, index) => 10 ** (index / (TARGET.regions - 1)),
  ).reduce((sum, weight) => sum + weight, 0);
