import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Scheduler} from '../scheduler.js';
import type {UpstreamState} from '../upstream_state.js';
import type {Decision} from '../types.js';
import {
  brief,
  createScheduler,
  ENGINE_TRAITS,
  upstream,
} from './scheduling_fixture.js';

/** Three times slower than the scheduler assumes at first. */
const TOKENS_PER_MS = 12;
const ARRIVAL_INTERVAL_MS = 150;
const DURATION_MS = 12_000;
const STEP_MS = 10;
const TARGET_MS = 1_500;
/** As the entries report it. */
const OVERDUE_SLACK_MS = 60;
/** Streams report their first answer only when they end. */
const STREAM_MS = 5_000;

interface Reading {
  readonly grant: Extract<Decision, {kind: 'grant'}>;
  readonly grantedAtMs: number;
  readonly begunAtMs: number;
  isOverdue: boolean;
  hasBegun: boolean;
}

/** An engine that reads one prompt after the other. */
class SlowEngine {
  readonly readings: Reading[] = [];
  private freeAtMs = 0;

  constructor(
    private readonly scheduler: Scheduler,
    private readonly hasReports: boolean,
  ) {}

  take(grant: Reading['grant'], nowMs: number): void {
    const {promptTokens = 0} = brief(grant.requestId).prompt ?? {};
    this.freeAtMs =
      Math.max(this.freeAtMs, nowMs) + promptTokens / TOKENS_PER_MS;
    this.readings.push({
      grant,
      grantedAtMs: nowMs,
      begunAtMs: this.freeAtMs,
      isOverdue: false,
      hasBegun: false,
    });
  }

  advance(nowMs: number): void {
    this.readings.forEach(reading => this.report(reading, nowMs));
    this.readings
      .filter(({begunAtMs}) => Math.abs(begunAtMs + STREAM_MS - nowMs) < 5)
      .forEach(({grant, grantedAtMs, begunAtMs}) =>
        this.scheduler.release(
          [
            {
              requestId: grant.requestId,
              upstreamId: grant.upstreamId,
              outcome: 'answered',
              firstAnswerMs: begunAtMs - grantedAtMs,
              totalMs: nowMs - grantedAtMs,
            },
          ],
          nowMs,
        ),
      );
  }

  private report(reading: Reading, nowMs: number): void {
    const {grant, grantedAtMs, begunAtMs} = reading;
    const state = this.stateOf(grant);
    const dueMs = grantedAtMs + grant.expectedMs * 1.3 + OVERDUE_SLACK_MS;
    if (!this.hasReports || reading.hasBegun) return;
    if (begunAtMs <= nowMs) {
      reading.hasBegun = true;
      if (reading.isOverdue) state?.noteBegun(grant.requestId, nowMs);
    } else if (dueMs <= nowMs && !reading.isOverdue) {
      reading.isOverdue = true;
      state?.noteOverdue(grant.requestId);
    }
  }

  private stateOf(grant: Reading['grant']): UpstreamState | undefined {
    return this.scheduler.pool.get(grant.upstreamId);
  }
}

/** Longest time from a grant to the first answer. */
function longestReadMs(hasReports: boolean): number {
  const scheduler = createScheduler(ENGINE_TRAITS);
  scheduler.pool.applyReading({
    upstreams: [upstream('engine')],
    readAtMs: 0,
    lagMs: 800,
  });
  const engine = new SlowEngine(scheduler, hasReports);
  Array.from({length: DURATION_MS / STEP_MS}, (_, step) => step * STEP_MS)
    .filter(nowMs => nowMs > 0)
    .forEach(nowMs => {
      engine.advance(nowMs);
      if (nowMs % ARRIVAL_INTERVAL_MS === 0) {
        const parts = [{partId: `own-${nowMs}`, tokens: 9_000}];
        const {prompt} = brief('size');
        scheduler.submit(
          brief(`b${nowMs}`, {
            priority: 0,
            ...(prompt === undefined ? {} : {prompt: {...prompt, parts}}),
          }),
          nowMs,
        );
      }
      scheduler
        .decide(nowMs)
        .flatMap(each => (each.kind === 'grant' ? [each] : []))
        .forEach(grant => engine.take(grant, nowMs));
    });
  return Math.max(
    ...engine.readings.map(each => each.begunAtMs - each.grantedAtMs),
  );
}

// Guards against a flood of long prompts to an engine that reads them more
// slowly than predicted: the scheduler took the prompts as read, granted more,
// and first answers came seconds late until the first streams had ended.
test('a slow engine gets prompts only as fast as it reads them', () => {
  const withoutReports = longestReadMs(false);
  const withReports = longestReadMs(true);
  assert.ok(withoutReports > 2 * TARGET_MS, `${withoutReports} ms`);
  // Three prompts: one is being read, and one more fits the backlog limit
  // before the first one is known to be overdue.
  assert.ok(withReports <= (3 * 9_000) / TOKENS_PER_MS, `${withReports} ms`);
});
