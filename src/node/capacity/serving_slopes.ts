/** What serving costs on one entry. */
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import {wallNowMs} from '../clock/clock.js';
import {workspaceKey} from './deployment.js';
import {sleep, spentDuring, type Spent} from './processes.js';
import {
  type RunningDeployment,
  until,
  withDeployment,
} from './running_deployment.js';
import {inTurn, lineThrough, round} from './slope.js';

const CONCURRENCY = 16;
const REQUESTS = 600;
const WARM_UP_REQUESTS = 200;
const TOKENS = [4, 32, 128];
const BOOKINGS = 600;
const SETTLE_MS = 2_500;
const STREAMS = [20, 100, 200];
const STREAM_SETTLE_MS = 3_000;

const agent = new Agent({connections: 512, pipelining: 1});

function headers(index: number): Record<string, string> {
  return {
    authorization: `Bearer ${workspaceKey(index)}`,
    'content-type': 'application/json',
  };
}

/** Sends one request and reads the whole answer. */
async function post(
  address: string,
  path: string,
  body: unknown,
  extra: Record<string, string> = {},
  workspace = 0,
): Promise<number> {
  const answer = await request(`http://${address}${path}`, {
    method: 'POST',
    dispatcher: agent,
    headers: {...headers(workspace), ...extra},
    body: JSON.stringify(body),
  });
  const text = await answer.body.text();
  if (answer.statusCode >= 300) {
    throw new Error(`${path}: ${answer.statusCode} ${text}`);
  }
  return text.length;
}

function chatBody(tokens: number, stream: boolean): unknown {
  return {
    model: 'chat',
    stream,
    max_tokens: tokens,
    messages: [
      {role: 'user', content: `how long is the queue ${randomUUID()}`},
    ],
  };
}

async function inParallel(
  count: number,
  run: () => Promise<unknown>,
): Promise<void> {
  let left = count;
  const worker = async (): Promise<void> => {
    while (left-- > 0) await run();
  };
  await Promise.all(Array.from({length: CONCURRENCY}, worker));
}

async function costOf(
  deployment: RunningDeployment,
  count: number,
  run: () => Promise<unknown>,
): Promise<{cpuMicros: number; ioBytes: number}> {
  await inParallel(WARM_UP_REQUESTS, run);
  const startMs = performance.now();
  const [spent] = await spentDuring(deployment.entries.slice(0, 1), () =>
    inParallel(count, run),
  );
  const runMs = performance.now() - startMs;
  const [idle] = await spentDuring(deployment.entries.slice(0, 1), () =>
    sleep(SETTLE_MS),
  );
  const net = (key: keyof Spent): number =>
    ((spent?.[key] ?? 0) - ((idle?.[key] ?? 0) * runMs) / SETTLE_MS) / count;
  return {cpuMicros: net('cpuMicros'), ioBytes: net('ioBytes')};
}

/** Requests by tokens, streamed, and whole ones. */
export function measureRequests() {
  return withDeployment({workspaces: 420, engines: 2}, async deployment => {
    await sleep(SETTLE_MS);
    const address = deployment.files.entries[0]?.callerAddress ?? '';
    const send = (tokens: number, stream: boolean) => () =>
      post(address, '/v1/chat/completions', chatBody(tokens, stream));
    const points = await inTurn(TOKENS, async tokens => {
      const cost = await costOf(deployment, REQUESTS, send(tokens, true));
      return {tokens, ...cost};
    });
    const whole = await costOf(deployment, REQUESTS, send(4, false));
    return {
      streamedMicros: lineThrough(
        points.map(({tokens, cpuMicros}) => ({size: tokens, value: cpuMicros})),
      ),
      streamedBytes: lineThrough(
        points.map(({tokens, ioBytes}) => ({size: tokens, value: ioBytes})),
      ),
      wholeMicros: round(whole.cpuMicros),
    };
  });
}

/** Streamed requests by engines of the domain, each known to the entry. */
export async function measureRequestsByEngines() {
  const figures = await inTurn([2, 20, 43], engines =>
    withDeployment({engines}, async deployment => {
      await sleep(SETTLE_MS);
      const address = deployment.files.entries[0]?.callerAddress ?? '';
      const cost = await costOf(deployment, REQUESTS, () =>
        post(address, '/v1/chat/completions', chatBody(4, true)),
      );
      return {size: engines, value: cost.cpuMicros};
    }),
  );
  return {streamedMicros: lineThrough(figures)};
}

/** Non-idempotent calls at the leader's domain, by members of the group. */
export async function measureBookings() {
  const figures = await inTurn([1, 3, 5], async entries => {
    const all = await withDeployment({entries}, async deployment => {
      await sleep(SETTLE_MS);
      const address = deployment.files.entries[0]?.callerAddress ?? '';
      const run = () =>
        post(
          address,
          '/services/booking/bookings',
          {slot: '16:30'},
          {'idempotency-key': `${wallNowMs()}-${randomUUID()}`},
        );
      // Keys from before the start of the group's generation are refused.
      await until('the record group', () =>
        run().then(
          () => true,
          () => false,
        ),
      );
      await inParallel(WARM_UP_REQUESTS, run);
      const spent = await spentDuring(deployment.entries, () =>
        inParallel(BOOKINGS, run),
      );
      return spent.map(({cpuMicros}) => cpuMicros / BOOKINGS);
    });
    return {size: entries, all};
  });
  return {
    allMembersMicros: lineThrough(
      figures.map(({size, all}) => ({
        size,
        value: all.reduce((sum, each) => sum + each, 0),
      })),
    ),
    busiestMicros: lineThrough(
      figures.map(({size, all}) => ({size, value: Math.max(...all)})),
    ),
  };
}

async function memoryWith(
  deployment: RunningDeployment,
  sizes: readonly number[],
) {
  const [entry] = deployment.entries;
  const address = deployment.files.entries[0]?.callerAddress ?? '';
  const pending: Promise<unknown>[] = [];
  let endedEarly = 0;
  const onEnd = (): void => {
    endedEarly += 1;
  };
  const points = await inTurn(sizes, async size => {
    while (pending.length < size) {
      pending.push(
        post(address, '/v1/chat/completions', chatBody(2_000, true)).then(
          onEnd,
          onEnd,
        ),
      );
    }
    await sleep(STREAM_SETTLE_MS);
    const usage = await entry?.usage(true);
    const {body} = await request(`http://${address}/metrics`);
    await body.dump();
    return {
      size,
      heap: usage?.heapBytes ?? 0,
      rss: usage?.rssBytes ?? 0,
    };
  });
  return {
    /** Requests that ended before the last size was read; 0 if all count. */
    endedEarly,
    heapBytes: lineThrough(points.map(({size, heap}) => ({size, value: heap}))),
    rssBytes: lineThrough(points.map(({size, rss}) => ({size, value: rss}))),
  };
}

/** Memory of an entry by streams in flight, and by requests that wait. */
export async function measureMemory() {
  const streams = await withDeployment({slots: 400, decodeMs: 40}, deployment =>
    memoryWith(deployment, STREAMS),
  );
  const queued = await withDeployment({slots: 1, decodeMs: 10}, deployment =>
    memoryWith(deployment, STREAMS),
  );
  return {streams, queued};
}

/** Memory of an entry by workspaces of the configuration. */
export async function measureWorkspaces() {
  const points = await inTurn([42, 420, 1_260], async workspaces => {
    const usage = await withDeployment({workspaces}, async deployment => {
      await sleep(SETTLE_MS);
      return deployment.entries[0]?.usage(true);
    });
    return {
      size: workspaces,
      heap: usage?.heapBytes ?? 0,
      rss: usage?.rssBytes ?? 0,
    };
  });
  return {
    heapBytes: lineThrough(points.map(({size, heap}) => ({size, value: heap}))),
    rssBytes: lineThrough(points.map(({size, rss}) => ({size, value: rss}))),
  };
}
