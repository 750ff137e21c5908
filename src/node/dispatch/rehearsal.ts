/**
 * Runs the code that schedules requests before the first ones arrive. The
 * runtime compiles code when it has run for a while; until then a scheduler
 * takes several times the processor time, and one that takes over a large
 * region would fall behind in its first second.
 */
import {PassThrough} from 'node:stream';
import {monotonicNowMs} from '../clock/clock.js';
import {
  createStreamKey,
  FrameReader,
  FrameWriter,
} from '../rpc/stream_frames.js';
import {Scheduler} from '../scheduling/scheduler.js';
import type {
  Decision,
  ListedUpstream,
  Release,
  WorkItem,
} from '../scheduling/types.js';
import {
  asId,
  type DomainId,
  type InstanceId,
  type RegionId,
  type RequestId,
  type ServiceId,
  type UpstreamId,
} from '../types/ids.js';
import {submissionSchema, type SubmissionPart} from './messages.js';

/** Most of the code that is used is compiled by then. */
const REQUESTS = 300;
/** Leaves most of a small processor to the start of the process. */
const REQUESTS_PER_SLICE = 4;
const SLICE_INTERVAL_MS = 25;
const ENGINES = 12;
const SHARED_PARTS = 40;
const SERVICE = asId<ServiceId>('rehearsal');
const ENTRY = asId<InstanceId>('rehearsal');

/** Rehearses in slices; ends by itself, or early with `stop`. */
export class Rehearsal {
  private readonly scheduler = createScheduler();
  private readonly writer: FrameWriter;
  private readonly granted: Release[] = [];
  private done = 0;
  private timer: ReturnType<typeof setTimeout> | undefined;

  constructor() {
    const key = createStreamKey('rehearsal', '', '');
    const wire = new PassThrough();
    const reader = new FrameReader(key, 'request', call => this.receive(call));
    wire.on('data', (chunk: Buffer) => reader.push(chunk));
    this.writer = new FrameWriter(wire, key, 'request');
  }

  /** Requests that were scheduled so far. */
  get count(): number {
    return this.done;
  }

  start(): void {
    this.timer = setTimeout(() => {
      this.runSlice();
      if (this.done < REQUESTS) this.start();
    }, SLICE_INTERVAL_MS);
    this.timer.unref();
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  /** Sends a few requests over an in-memory connection. */
  runSlice(): void {
    Array.from({length: REQUESTS_PER_SLICE}, () => {
      this.done += 1;
      const release = this.done % 2 === 0 ? this.granted.shift() : undefined;
      const parts: SubmissionPart[] = [
        {kind: 'item', item: createItem(this.done)},
        ...(release === undefined
          ? []
          : [{kind: 'release', service: SERVICE, release} as const]),
      ];
      this.writer.write({method: 'rehearse', params: {parts}});
    });
  }

  private receive(call: unknown): void {
    const {params} = call as {readonly params: unknown};
    const nowMs = monotonicNowMs();
    submissionSchema.parse(params).parts.forEach(part => {
      if (part.kind === 'item') this.scheduler.submit(part.item, nowMs);
      if (part.kind === 'release') {
        this.scheduler.release([part.release], nowMs);
      }
    });
    this.scheduler.decide(nowMs).forEach(decision => this.note(decision));
  }

  private note(decision: Decision): void {
    if (decision.kind !== 'grant') return;
    const {requestId, upstreamId, expectedMs} = decision;
    this.granted.push({
      requestId,
      upstreamId,
      outcome: 'answered',
      firstAnswerMs: expectedMs,
      totalMs: expectedMs,
    });
  }
}

function createScheduler(): Scheduler {
  const scheduler = new Scheduler({
    region: asId<RegionId>('rehearsal'),
    traits: {
      coldRequestsPerS: 0,
      kvCacheTokens: 200_000,
      tokensPerEvent: 1,
      fetchMsPerToken: 0.001,
    },
    retries: {ratio: 0.2, windowMs: 10_000, slack: 10},
    onPoolChange: () => undefined,
    onLaneChange: () => undefined,
  });
  scheduler.pool.applyReading({
    upstreams: Array.from({length: ENGINES}, (_, index) => createEngine(index)),
    readAtMs: 0,
    lagMs: 0,
  });
  return scheduler;
}

function createEngine(index: number): ListedUpstream {
  return {
    upstreamId: asId<UpstreamId>(`rehearsal-${index}`),
    service: SERVICE,
    address: `rehearsal-${index}:1`,
    domain: asId<DomainId>('rehearsal'),
    slots: 16,
    isDraining: false,
    coldRemainingMs: 0,
    bornAtMs: 1,
  };
}

function createItem(index: number): WorkItem {
  const isLong = index % 4 === 0;
  const sharedTokens = isLong ? 6_000 : 200;
  const ownTokens = isLong ? 2_500 : 600;
  return {
    requestId: asId<RequestId>(`rehearsal-${index}`),
    entry: ENTRY,
    service: SERVICE,
    priority: isLong ? 2 : 0,
    targetLatencyMs: 500,
    ageMs: 0,
    remainingMs: 3_000,
    prompt: {
      promptTokens: sharedTokens + ownTokens,
      maxOutputTokens: 300,
      expectedOutputTokens: 150,
      parts: [
        {partId: `shared-${index % SHARED_PARTS}`, tokens: sharedTokens},
        {partId: `own-${index}`, tokens: ownTokens},
      ],
    },
    avoidUpstreams: [],
    isRepeat: false,
    isAllowedHere: true,
    otherRegions: [],
  };
}
