/**
 * Simulates a flood on one scheduler of a large region: more chats and briefs
 * arrive than its engines can serve, each in a separate message.
 */
import {seededRandom} from '../../__tests__/support/random.js';
import type {Scheduler} from '../scheduler.js';
import type {Decision, Release, WorkItem} from '../types.js';
import {
  brief,
  chat,
  createScheduler,
  ENGINE_TRAITS,
  upstream,
} from './scheduling_fixture.js';

export interface FloodOptions {
  readonly engines: number;
  readonly slots: number;
  readonly chatsPerS: number;
  readonly briefsPerS: number;
  readonly durationMs: number;
  /** Interval of queue processing. */
  readonly checkMs: number;
}

/** Outcomes of the requests of a flood. */
export interface FloodResult {
  readonly arrivals: number;
  readonly granted: number;
  readonly refused: number;
  /** Longest queue wait of a granted request. */
  readonly longestQueueMs: number;
  /** CPU time of the scheduler. */
  readonly processorMs: number;
}

/** Output tokens per millisecond of an engine with all slots occupied. */
const TOKENS_PER_MS = 6;
const MANUALS = 700;

interface Running {
  readonly release: Release;
  readonly endsAtMs: number;
}

/** Runs a flood in simulated time. */
export function playFlood(options: FloodOptions): FloodResult {
  const random = seededRandom(7);
  const scheduler = createScheduler(ENGINE_TRAITS);
  scheduler.pool.applyReading({
    readAtMs: 0,
    lagMs: 0,
    upstreams: Array.from({length: options.engines}, (_, index) =>
      upstream(`engine-${index}`, {slots: options.slots}),
    ),
  });
  const running: Running[] = [];
  const items = new Map<string, WorkItem>();
  const counts = {arrivals: 0, granted: 0, refused: 0, longestQueueMs: 0};
  const startedMs = process.cpuUsage();
  const take = (decisions: readonly Decision[], nowMs: number): void =>
    decisions.forEach(decision => {
      if (decision.kind !== 'grant') {
        counts.refused += 1;
        return;
      }
      counts.granted += 1;
      counts.longestQueueMs = Math.max(
        counts.longestQueueMs,
        decision.queuedMs,
      );
      const item = items.get(decision.requestId);
      if (item !== undefined) running.push(run(item, decision, nowMs, options));
    });
  const perMs = (options.chatsPerS + options.briefsPerS) / 1_000;
  Array.from({length: options.durationMs}, (_, nowMs) => {
    endRuns(scheduler, running, nowMs, decisions => take(decisions, nowMs));
    const due = Math.floor((nowMs + 1) * perMs) - Math.floor(nowMs * perMs);
    Array.from({length: due}, () => {
      const item = drawItem(random, counts.arrivals, options);
      counts.arrivals += 1;
      items.set(item.requestId, item);
      scheduler.submit(item, nowMs);
      take(scheduler.takeDecisions(), nowMs);
    });
    if (nowMs % options.checkMs === 0) take(scheduler.decide(nowMs), nowMs);
  });
  const used = process.cpuUsage(startedMs);
  return {...counts, processorMs: (used.user + used.system) / 1_000};
}

function drawItem(
  random: () => number,
  index: number,
  {chatsPerS, briefsPerS}: FloodOptions,
): WorkItem {
  const isBrief = random() < briefsPerS / (chatsPerS + briefsPerS);
  const manualIndex = Math.floor(random() * MANUALS);
  const item = isBrief ? brief(`r${index}`) : chat(`r${index}`);
  const {prompt} = item;
  if (prompt === undefined || !isBrief) return item;
  const shared = {partId: `manual-${manualIndex}`, tokens: 3_780};
  const parts = [{partId: 'rules', tokens: 2_520}, shared, ...prompt.parts];
  return {...item, prompt: {...prompt, parts: [...parts.slice(0, 2)]}};
}

function run(
  item: WorkItem,
  {upstreamId, expectedMs}: Extract<Decision, {kind: 'grant'}>,
  nowMs: number,
  {slots}: FloodOptions,
): Running {
  const tokens = item.prompt?.expectedOutputTokens ?? 0;
  const totalMs = expectedMs + (tokens * slots) / TOKENS_PER_MS / 2;
  return {
    endsAtMs: nowMs + totalMs,
    release: {
      requestId: item.requestId,
      upstreamId,
      outcome: 'answered',
      firstAnswerMs: expectedMs,
      totalMs,
    },
  };
}

function endRuns(
  scheduler: Scheduler,
  running: Running[],
  nowMs: number,
  take: (decisions: readonly Decision[]) => void,
): void {
  const ended = running.filter(each => each.endsAtMs <= nowMs);
  const others = running.filter(each => each.endsAtMs > nowMs);
  running.splice(0, running.length, ...others);
  ended.forEach(each => {
    scheduler.release([each.release], nowMs);
    take(scheduler.takeDecisions());
  });
}
