/**
 * The log events of the regional processes and the fields that consumers rely
 * on. Lines may have more fields, but `explain-request` and
 * `docs/OPERATIONS.md` use only these.
 */
import {z} from 'zod';

const timedLineSchema = z.looseObject({
  /** Unix milliseconds. */
  time: z.number(),
  instance: z.string(),
  event: z.string(),
});

const upstreamChange = {
  service: z.string(),
  upstream: z.string(),
  /** The cause of the state change. */
  cause: z.string(),
  /** The entry whose report led to it, if it was one. */
  reporter: z.string().optional(),
  coldRemainingMs: z.number(),
};
const suspectChange = {
  /** `part:ID` for a part of prompts, `request:DIGEST` for one request. */
  suspect: z.string(),
  /** `UPSTREAM@START` of the upstream processes that ended under it. */
  crashes: z.array(z.string()),
};
const peerChange = {peer: z.string()};
const change = {order: z.looseObject({kind: z.string()})};

/** Fields of every line about a matched request. */
const matched = {
  requestId: z.string(),
  route: z.string(),
  service: z.string(),
  /** Missing if the route is public or the table has no workspaces. */
  workspace: z.string().optional(),
  /** Version of the route table that it was matched with. */
  tableVersion: z.number(),
  /** Since the request was received. */
  ageMs: z.number(),
};

/** Where a request is and may run. */
const boundTo = {
  /** The region of the entry that decided or was told. */
  entryRegion: z.string(),
  /** Of its route and its workspace together; missing if all regions may. */
  homeRegions: z.array(z.string()).optional(),
  /** Missing if its workspace is not bound. */
  workspaceHomes: z.array(z.string()).optional(),
};

const FIELDS = {
  // Process lifecycle.
  started: {},
  stopping: {},
  stopped: {},
  start_failed: {},
  stop_failed: {},
  reloaded: {seedAddresses: z.array(z.string())},
  reload_failed: {problems: z.string()},
  settings_unreadable: {},
  unhandled_rejection: {},
  uncaught_exception: {},
  log_failed: {},
  disk_refused: {},
  disk_regained: {},
  // Dependencies.
  control_lost: peerChange,
  control_regained: peerChange,
  list_lost: {domain: z.string()},
  list_items_skipped: {domain: z.string(), skippedCount: z.number()},
  list_regained: {domain: z.string()},
  state_fetch_failed: peerChange,
  // State of entries.
  state_in_force: {
    revision: z.number(),
    version: z.number(),
    evacuatedDomains: z.array(z.string()),
  },
  scheduler_moved: {
    service: z.string(),
    domain: z.string(),
    to: z.string(),
  },
  scheduler_started: {
    service: z.string(),
    domain: z.string(),
    /** Upstreams that it knows; 0 if it has yet to read the list. */
    upstreams: z.number(),
  },
  scheduler_handover: {
    service: z.string(),
    domain: z.string(),
    /** The entry that tells what it runs and which limits it knows. */
    entry: z.string(),
    placements: z.number(),
    /** `UPSTREAM:LIMIT`, in requests a second. */
    limits: z.array(z.string()),
    /** How many of them name an upstream that the scheduler does not list. */
    unlistedPlacements: z.number(),
    unlistedLimits: z.number(),
  },
  retry_budget: {
    service: z.string(),
    domain: z.string(),
    /** In the window, by the scheduler of the service in the domain. */
    requests: z.number(),
    retries: z.number(),
    /** Retries that it refused. */
    refusals: z.number(),
    /** Its count began with zero so long ago. */
    schedulerAgeMs: z.number(),
  },
  retry_share: {
    service: z.string(),
    /** In the window, of those that this entry sends to upstreams. */
    requests: z.number(),
    retries: z.number(),
    refusals: z.number(),
    /** Entries among which the slack of the deployment is divided. */
    entries: z.number(),
  },
  quota_limited: {
    workspace: z.string(),
    ratePerS: z.number(),
    /** Of the request that was refused first. */
    requestUnits: z.number(),
    /** What this entry had left, and what it may add a second by itself. */
    balanceUnits: z.number(),
    sharePerS: z.number(),
    demandPerS: z.number(),
    /** Whether a lease was valid; without one only the floor is left. */
    hasLease: z.boolean(),
  },
  quota_unlimited: {
    workspace: z.string(),
    limitedMs: z.number(),
    refusedUnits: z.number(),
  },
  scheduler_silent: {
    requestId: z.string(),
    scheduler: z.string(),
    waitedMs: z.number(),
    cause: z.string(),
  },
  scheduler_failed: {},
  entry_load: {
    loopDelayMs: z.number(),
    processorMs: z.number(),
    elapsedMs: z.number(),
    loopUtilization: z.number(),
    itemsScheduled: z.number(),
    queueLength: z.number(),
    requestsInFlight: z.number(),
    admittedShare: z.number(),
  },
  incarnation_raised: {held: z.number()},
  long_prompt_lane: {service: z.string(), members: z.array(z.string())},
  upstream_listed: upstreamChange,
  upstream_unlisted: upstreamChange,
  upstream_draining: upstreamChange,
  upstream_reborn: upstreamChange,
  upstream_suspected: upstreamChange,
  upstream_down: upstreamChange,
  upstream_up: upstreamChange,
  upstream_limited: upstreamChange,
  upstream_unlimited: upstreamChange,
  upstream_brittle: upstreamChange,
  upstream_not_brittle: upstreamChange,
  upstream_crashed: {
    service: z.string(),
    upstream: z.string(),
    /** Number of requests that ran on it. */
    running: z.number(),
    /** The most frequent shared prompt parts among them, as `ID:REQUESTS`. */
    parts: z.array(z.string()),
  },
  suspect_quarantined: suspectChange,
  suspect_cleared: suspectChange,
  path_lost: {upstream: z.string()},
  path_regained: {upstream: z.string()},
  paths_lost: {known: z.number()},
  paths_regained: {known: z.number()},
  probe_answered: {
    service: z.string(),
    upstream: z.string(),
    coldRemainingMs: z.number(),
  },
  // Decisions on requests.
  rejected: {
    requestId: z.string(),
    reason: z.string(),
    status: z.number(),
    tableVersion: z.number(),
    // With `busy`.
    priority: z.number().optional(),
    admittedShare: z.number().optional(),
    retryAfterMs: z.number().optional(),
    // With `unknown_key`; neither the key nor its digest is logged.
    hasKey: z.boolean().optional(),
    /** This version and all later ones lack the key, as far as the entry knows. */
    unknownSinceVersion: z.number().optional(),
    /** Missing if no version that the entry knows has held the key. */
    formerWorkspace: z.string().optional(),
    // With `no_common_region`, `not_a_home` and `unknown_workspace`.
    entryRegion: z.string().optional(),
    route: z.string().optional(),
    /** Empty if it is not bound to any. */
    routeHomes: z.array(z.string()).optional(),
    workspace: z.string().optional(),
    workspaceHomes: z.array(z.string()).optional(),
  },
  unfinished_requests_closed: {
    /** `head_bytes` or `connections`. */
    bound: z.string(),
    connections: z.number(),
  },
  slow_peer_let_go: {
    heldBytes: z.number(),
    movedBytes: z.number(),
    bytesPerS: z.number(),
    observedMs: z.number(),
  },
  request_crashed: {requestId: z.string(), status: z.number()},
  granted: {...matched, scheduler: z.string(), upstreamId: z.string()},
  offloaded: {
    ...matched,
    ...boundTo,
    scheduler: z.string(),
    region: z.string(),
    localWaitMs: z.number(),
    remoteWaitMs: z.number(),
  },
  refused: {
    ...matched,
    ...boundTo,
    scheduler: z.string(),
    reason: z.string(),
    predictedWaitMs: z.number(),
    retryAfterMs: z.number(),
    usableUpstreams: z.number(),
    queueLength: z.number(),
    /** Above 0 if the entry reused a cached refusal. */
    decisionAgeMs: z.number(),
    /** The version that began the stream of a take-up, if it is known. */
    begunBy: z.string().optional(),
    /** Set for a take-up. */
    resumedAttemptId: z.string().optional(),
  },
  retry: {...matched, cause: z.string(), runs: z.number()},
  resumed: {
    ...matched,
    upstream: z.string(),
    /** Missing if the version of the upstream is not known. */
    softwareVersion: z.string().optional(),
    /** The version that began the stream; missing if it is not known. */
    begunBy: z.string().optional(),
    /** The last event that the caller has. */
    lastEventId: z.number(),
    /** Missing if the stream goes on within one response. */
    resumedAttemptId: z.string().optional(),
  },
  stalled: {
    ...matched,
    upstream: z.string(),
    silentMs: z.number(),
    limitMs: z.number(),
    isUpstreamActive: z.boolean(),
    result: z.string(),
  },
  /** A plain response was begun before it was whole, for want of room. */
  begun_early: {...matched, readBytes: z.number()},
  /** The end of a response without a length or chunks. */
  end_checked: {
    ...matched,
    upstream: z.string(),
    /** `complete`, `broken_off` or `unknown`. */
    completeness: z.string(),
    /** Since the connection has ended. */
    checkMs: z.number(),
  },
  /** An answer to another request, or a refusal of none, has ended the try of this one. */
  extra_answer: {
    ...matched,
    upstream: z.string(),
    status: z.number(),
    /** The attempt that the answer names; missing if it names none. */
    namedAttemptId: z.string().optional(),
  },
  upstream_limit: {
    ...matched,
    upstream: z.string(),
    /** Requests a second from all instances; missing if the limit has ended. */
    maxRequestsPerS: z.number().optional(),
    /** Of the response that says so. */
    status: z.number(),
  },
  upstream_notice: {
    ...matched,
    upstream: z.string(),
    isLeaving: z.boolean(),
    retryAfterMs: z.number().optional(),
  },
  upstream_outcome: {
    ...matched,
    upstream: z.string(),
    outcome: z.string(),
    totalMs: z.number(),
  },
  ended: {
    ...matched,
    result: z.string(),
    status: z.number(),
    isRelayed: z.boolean(),
    queuedMs: z.number(),
    decisionMs: z.number(),
    totalMs: z.number(),
    firstAnswerMs: z.number(),
    longestGapMs: z.number(),
    runs: z.number(),
    triesNotRun: z.number(),
  },
  // Control members.
  entry_joined: peerChange,
  entry_changed: peerChange,
  entry_expired: peerChange,
  state_applied: {revision: z.number(), version: z.number()},
  change_confirmed: change,
  change_not_confirmed: change,
  change_dropped: {
    ...change,
    /** `operator_left`. */
    reason: z.string(),
  },
  change_superseded: change,
  change_rejected: {problems: z.array(z.unknown())},
  fields_ignored: {
    version: z.number(),
    /** `routes[].NAME`; the first of `fieldCount`. */
    fields: z.array(z.string()),
    fieldCount: z.number(),
  },
  operator_call_failed: {},
  member_removed: peerChange,
  member_removal_failed: peerChange,
  rejoining: {},
  leave_failed: {},
} as const satisfies Record<string, z.ZodRawShape>;

/** The name of an event. */
export type LogEvent = keyof typeof FIELDS;

/** All events; `docs/OPERATIONS.md` lists them. */
export const LOG_EVENTS = Object.keys(FIELDS) as readonly LogEvent[];

/** Schema violations of one parsed line; empty if it is valid. */
export function checkLogLine(value: unknown): readonly string[] {
  const line = timedLineSchema.safeParse(value);
  if (!line.success) return [z.prettifyError(line.error)];
  const {event} = line.data;
  if (!isLogEvent(event)) return [`unknown event ${event}`];
  const fields = z.looseObject(FIELDS[event]).safeParse(value);
  return fields.success ? [] : [`${event}: ${z.prettifyError(fields.error)}`];
}

function isLogEvent(event: string): event is LogEvent {
  return event in FIELDS;
}
