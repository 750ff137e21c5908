/**
 * Runs a request of the ingress in memory: upstreams are scripts of timed
 * pieces behind a fake connection pool, and time is mocked.
 */
import type {TestContext} from 'node:test';
import type {Dispatcher} from 'undici';
import {setMonotonicSource} from '../../../clock/clock.js';
import {HeldBytes} from '../../../http/held_bytes.js';
import type {
  Completeness,
  EndedResponse,
} from '../../../dispatch/response_end_check.js';
import type {Route} from '../../../routes/route_table.js';
import {UpstreamNotices} from '../../../dispatch/upstream_notices.js';
import {UpstreamLimits} from '../../../dispatch/upstream_limits.js';
import type {SchedulerAnswer, WorkItem} from '../../../scheduling/types.js';
import {
  asId,
  type InstanceId,
  type RegionId,
  type RequestId,
  type RouteId,
  type ServiceId,
} from '../../../types/ids.js';
import {CallerResponse} from '../../caller_response.js';
import type {ConnectionPool} from '../../connection_pool.js';
import type {ResponseSink} from '../../exchange.js';
import {NOT_RUN_HEADER} from '../../inner_headers.js';
import type {RequestRunContext} from '../../request_context.js';
import {RequestRun} from '../../request_run.js';
import type {InboundRequest} from '../../types.js';
import {UpstreamPaces} from '../../upstream_pace.js';

/** What an upstream sends, `atMs` after it got the request. */
export interface Piece {
  readonly atMs: number;
  readonly text: string;
}

export interface RunSetup {
  /** The pieces of each upstream; a stream ends after its last one. */
  readonly upstreams: Readonly<Record<string, readonly Piece[]>>;
  /** Answers in turn; the last one repeats. */
  readonly decisions: readonly ((item: WorkItem) => SchedulerAnswer)[];
  readonly route?: Partial<Route>;
  /** Whether another entry relayed the request here; default false. */
  readonly isRelayed?: boolean;
  /** Headers with which another entry refuses the request, if it is relayed. */
  readonly peerRefusal?: Readonly<Record<string, string>>;
  /** Bounds what is held for the caller; responses then have chunks. */
  readonly maxHeldBytes?: number;
  /** Whether the caller reads what it is sent; default true. */
  readonly isRead?: boolean;
  /** What is found out about a response that nothing marks as complete. */
  readonly completeness?: Readonly<Record<string, Completeness>>;
  /** Duration of the whole run. */
  readonly runMs: number;
}

/** The text of a piece at which the upstream breaks the connection. */
export const BROKEN = 'broken';
/** The text of a piece with which the upstream turns the request away. */
export const REJECTED = 'rejected';
const NOT_EXECUTED_HEADER = 'not-executed';
const ATTEMPT_ID = 'attempt';

const STEP_MS = 20;
const TIMEOUT_MS = 6_000;
export const DEFAULT_GAP_MS = 600;

/** An event of a stream. */
export function event(atMs: number, id: number): Piece {
  return {atMs, text: `id: ${id}\ndata: x\n\n`};
}

export function grant(upstream: string, expectedMs = 400) {
  return ({requestId}: WorkItem): SchedulerAnswer =>
    ({
      kind: 'grant',
      requestId,
      upstreamId: upstream,
      address: upstream,
      service: 'service',
      domain: 'domain',
      queuedMs: 0,
      expectedMs,
      isCold: false,
      isLimitKnown: true,
      scheduler: 'self',
      passes: 0,
    }) as unknown as SchedulerAnswer;
}

/** Sends the request to another region. */
export function offload({requestId}: WorkItem): SchedulerAnswer {
  return {
    kind: 'offload',
    requestId,
    region: 'away',
  } as unknown as SchedulerAnswer;
}

export function refuse(reason: string) {
  return ({requestId}: WorkItem): SchedulerAnswer =>
    ({
      kind: 'refuse',
      requestId,
      reason,
      retryAfterMs: 0,
      scheduler: 'self',
      passes: 0,
    }) as unknown as SchedulerAnswer;
}

/** Runs one resumable stream and returns what happened, a line a step. */
export async function runStream(
  t: TestContext,
  setup: RunSetup,
): Promise<readonly string[]> {
  t.mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']});
  const {restore} = setMonotonicSource(Date.now);
  const lines: string[] = [];
  const note = (line: string): number => lines.push(`${Date.now()} ${line}`);
  const abort = new AbortController();
  setTimeout(() => abort.abort(), TIMEOUT_MS);
  const {maxHeldBytes: maxBytes, isRead = true} = setup;
  const response = new CallerResponse(
    fakeResponse(note, isRead),
    () => false,
    maxBytes === undefined ? undefined : new HeldBytes({maxBytes}),
  );
  const run = new RequestRun(
    contextOf(setup, note),
    requestOf(setup),
    response,
    abort.signal,
  ).run();
  await advance(t, setup.runMs);
  await run;
  restore();
  t.mock.timers.reset();
  return lines;
}

async function advance(t: TestContext, durationMs: number): Promise<void> {
  const steps = Array.from({length: durationMs / STEP_MS});
  await steps.reduce<Promise<void>>(async before => {
    await before;
    t.mock.timers.tick(STEP_MS);
    await new Promise(resolve => setImmediate(resolve));
  }, Promise.resolve());
}

function requestOf({route, isRelayed = false}: RunSetup): InboundRequest {
  return {
    requestId: asId<RequestId>('request'),
    method: 'POST',
    path: '/',
    rawHeaders: [],
    body: Buffer.from('x'),
    route: {
      name: asId<RouteId>('route'),
      host: 'host',
      pathPrefix: '/',
      kind: 'stream',
      timeoutMs: TIMEOUT_MS,
      targetLatencyMs: 1_000,
      priority: 1,
      shares: [],
      maxUpstreams: 2,
      isResumable: true,
      targetGapMs: DEFAULT_GAP_MS,
      homeRegions: [],
      ...route,
    },
    service: asId<ServiceId>('service'),
    traits: {attemptId: ATTEMPT_ID},
    tableVersion: 1,
    receivedAtMs: Date.now(),
    expiresAtMs: Date.now() + TIMEOUT_MS,
    isRelayed,
    isRepeat: false,
    avoidUpstreams: [],
    lastEventId: undefined,
    begun: undefined,
  };
}

function contextOf(
  {
    upstreams,
    decisions,
    completeness = {},
    peerRefusal = {},
    maxHeldBytes,
  }: RunSetup,
  note: (line: string) => void,
): RequestRunContext {
  let asked = 0;
  return {
    region: asId<RegionId>('home'),
    self: asId<InstanceId>('self'),
    protocol: {
      upstreamHeaders: () => [],
      callerHeaders: () => [],
      responseTraits: (_status: number, headers: Record<string, string>) => ({
        attemptId: ATTEMPT_ID,
        isSigned: true,
        isEncoded: false,
        isNotRun: headers[NOT_EXECUTED_HEADER] !== undefined,
      }),
    },
    members: {regions: () => ['home']},
    misdirections: {pending: () => undefined, begin: () => undefined},
    scheduler: {
      acquire: (item: WorkItem) => {
        const decide = decisions[Math.min(asked, decisions.length - 1)];
        asked += 1;
        return Promise.resolve(decide?.(item));
      },
      release: ({upstreamId, outcome}: Record<string, string>) =>
        note(`released ${upstreamId}: ${outcome}`),
      report: () => undefined,
      reportLimits: () => undefined,
    },
    connections: {
      pool: (address: string) =>
        fakePool(
          address,
          upstreams[address] ?? [],
          note,
          maxHeldBytes === undefined ? {} : {'transfer-encoding': 'chunked'},
        ),
      retire: () => undefined,
    },
    retryShares: {
      allowsRetry: () => true,
      noteRequest: () => undefined,
      noteRetry: () => undefined,
      noteRefusal: () => undefined,
    },
    relay: {
      isDoubtful: () => false,
      send: (_region: RegionId, _request: unknown, sink: ResponseSink) => {
        sink.onHead(503, peerRefusal);
        return Promise.resolve({kind: 'complete'});
      },
    },
    origins: {note: () => undefined},
    reachability: {
      unreachable: () => [],
      isCutOff: false,
      noteUse: () => undefined,
      doubt: () => undefined,
    },
    responseEnds: {
      check: ({address}: EndedResponse) =>
        Promise.resolve(completeness[address] ?? 'complete'),
    },
    paces: new UpstreamPaces(),
    limits: new UpstreamLimits(),
    notices: new UpstreamNotices(),
    evacuatedDomains: () => [],
    log: {
      write: () => undefined,
      tryFailed: () => undefined,
      decision: () => undefined,
      end: () => undefined,
    },
    metrics: {count: () => undefined, recordMs: () => undefined},
  } as unknown as RequestRunContext;
}

function fakePool(
  name: string,
  pieces: readonly Piece[],
  note: (line: string) => void,
  headers: Readonly<Record<string, string>>,
): Pick<ConnectionPool, 'take'> {
  const send = (handler: Dispatcher.DispatchHandler): void => {
    let isAborted = false;
    const controller = {
      abort: () => {
        isAborted = true;
      },
      pause: () => undefined,
      resume: () => undefined,
    } as unknown as Dispatcher.DispatchController;
    note(`sent to ${name}`);
    handler.onRequestStart?.(controller, undefined);
    pieces.forEach(({atMs, text}, position) =>
      setTimeout(() => {
        if (isAborted) return;
        if (text === BROKEN) {
          handler.onResponseError?.(controller, new Error(BROKEN));
          return;
        }
        if (text === REJECTED) {
          const rejection = {[NOT_EXECUTED_HEADER]: '1'};
          handler.onResponseStart?.(controller, 503, rejection, '');
          handler.onResponseEnd?.(controller, {});
          return;
        }
        if (position === 0) {
          handler.onResponseStart?.(controller, 200, headers, 'OK');
        }
        handler.onResponseData?.(controller, Buffer.from(text));
        const isLast = position === pieces.length - 1;
        if (isLast && !isAborted) handler.onResponseEnd?.(controller, {});
      }, atMs),
    );
  };
  return {
    take: () => ({
      dispatch: (_options, handler) => send(handler),
      release: () => undefined,
    }),
  };
}

function fakeResponse(note: (line: string) => void, isRead: boolean) {
  return {
    closed: false,
    writableLength: 0,
    socket: null,
    once: () => undefined,
    req: {httpVersion: '1.1'},
    setHeader: () => undefined,
    appendHeader: (name: string, value: string) => {
      if (name === NOT_RUN_HEADER) note(`caller gets ${name}: ${value}`);
    },
    writeHead: () => undefined,
    write: (bytes: Buffer) => {
      const ids = [...bytes.toString().matchAll(/id: (\d+)/g)];
      note(`caller gets ${ids.map(each => each[1]).join()}`);
      return isRead;
    },
    end: () => note('caller has the whole response'),
    destroy: () => note('connection of the caller closed'),
  } as never;
}
