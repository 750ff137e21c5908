import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  LoadShedding,
  MAX_STANDING_DELAY_MS,
} from '../admission/load_shedding.js';

const SAMPLE_MS = 100;
/** Processor time of a request that is served, and of one that is refused. */
const SERVED_MS = 6;
const REFUSED_MS = 0.6;
/** Share of a core that the process gets. */
const PROCESSOR_SHARE = 0.12;
const URGENT = 0;
const BATCH = 5;

interface Arrivals {
  readonly urgentPerS: number;
  readonly batchPerS: number;
}

interface Outcome {
  admitted: {urgent: number; batch: number};
  longestDelayMs: number;
}

/** A process whose event loop lags by the work that it has not done yet. */
class BusyProcess {
  readonly shedding = new LoadShedding();
  private nowMs = 0;
  private backlogMs = 0;
  private dueUrgent = 0;
  private dueBatch = 0;

  run(durationMs: number, arrivals: Arrivals): Outcome {
    const outcome = {admitted: {urgent: 0, batch: 0}, longestDelayMs: 0};
    Array.from({length: durationMs / SAMPLE_MS}).forEach(() => {
      this.step(arrivals, outcome);
    });
    return outcome;
  }

  private step({urgentPerS, batchPerS}: Arrivals, outcome: Outcome): void {
    this.dueUrgent += (urgentPerS * SAMPLE_MS) / 1_000;
    this.dueBatch += (batchPerS * SAMPLE_MS) / 1_000;
    const urgent = Math.floor(this.dueUrgent);
    const batch = Math.floor(this.dueBatch);
    this.dueUrgent -= urgent;
    this.dueBatch -= batch;
    outcome.admitted.urgent += this.admittedOf(urgent, URGENT);
    outcome.admitted.batch += this.admittedOf(batch, BATCH);
    this.nowMs += SAMPLE_MS;
    this.backlogMs = Math.max(0, this.backlogMs - SAMPLE_MS * PROCESSOR_SHARE);
    const delayMs = this.backlogMs / PROCESSOR_SHARE;
    outcome.longestDelayMs = Math.max(outcome.longestDelayMs, delayMs);
    const utilization = this.backlogMs > 0 ? 1 : 0.5;
    this.shedding.noteSample({delayMs, utilization});
  }

  private admittedOf(count: number, priority: number): number {
    const arrived = Array.from({length: count}, () => this.arrive(priority));
    return arrived.filter(isAdmitted => isAdmitted).length;
  }

  private arrive(priority: number): boolean {
    const isAdmitted = this.shedding.refuse(priority, this.nowMs) === undefined;
    this.backlogMs += isAdmitted ? SERVED_MS : REFUSED_MS;
    return isAdmitted;
  }
}

// Guards against refusals of a process that keeps up.
test('a process that keeps up refuses nothing', () => {
  const busy = new BusyProcess();
  const calm = busy.run(10_000, {urgentPerS: 8, batchPerS: 8});
  assert.deepEqual(calm.admitted, {urgent: 80, batch: 80});
  assert.equal(busy.shedding.admittedShare, 1);
});

// Guards against a flood that takes all processor time until nothing is answered.
test('a flood of three times what a process bears is held to a short delay', () => {
  const busy = new BusyProcess();
  busy.run(5_000, {urgentPerS: 8, batchPerS: 52});
  const {admitted, longestDelayMs} = busy.run(20_000, {
    urgentPerS: 8,
    batchPerS: 52,
  });
  // Refusals of all but 14 a second cost the rest of 20 a second.
  const perS = (admitted.urgent + admitted.batch) / 20;
  assert.ok(perS > 11 && perS < 16, `${perS} a second`);
  assert.ok(longestDelayMs < 10 * MAX_STANDING_DELAY_MS, `${longestDelayMs}`);
});

// Guards against urgent requests that pay for a flood of others, and against others
// that get nothing.
test('the least urgent requests are shed first, and keep a floor', () => {
  const busy = new BusyProcess();
  busy.run(5_000, {urgentPerS: 8, batchPerS: 52});
  const {admitted} = busy.run(20_000, {urgentPerS: 8, batchPerS: 52});
  assert.ok(admitted.urgent >= 0.9 * 160, `${admitted.urgent} urgent`);
  const urgentFlood = new BusyProcess();
  urgentFlood.run(5_000, {urgentPerS: 60, batchPerS: 40});
  const flooded = urgentFlood.run(20_000, {urgentPerS: 60, batchPerS: 40});
  assert.ok(flooded.admitted.batch >= 0.04 * 800, `${flooded.admitted.batch}`);
});

// Guards against a process that goes on refusing after a flood.
test('all requests are admitted again within four seconds', () => {
  const busy = new BusyProcess();
  busy.run(5_000, {urgentPerS: 8, batchPerS: 52});
  busy.run(4_000, {urgentPerS: 4, batchPerS: 4});
  assert.equal(busy.shedding.admittedShare, 1);
});

// Guards against refusals for a pause, as that of a garbage collection.
test('a single long turn of the event loop sheds nothing', () => {
  const shedding = new LoadShedding();
  [0, 0, 400, 0, 0, 300, 1].forEach(delayMs =>
    shedding.noteSample({delayMs, utilization: 1}),
  );
  assert.equal(shedding.admittedShare, 1);
});

// Guards against refusals while something else delays the timers, as at the start.
test('delays of a process with idle time shed nothing', () => {
  const shedding = new LoadShedding();
  [90, 120, 80, 100].forEach(delayMs =>
    shedding.noteSample({delayMs, utilization: 0.6}),
  );
  assert.equal(shedding.admittedShare, 1);
});

// Guards against a short dip that refuses the first request of each priority, and
// against a rare priority that waits for its share to add up.
test('the first request after a calm time is admitted', () => {
  const shedding = new LoadShedding();
  [100, 100].forEach(delayMs => shedding.noteSample({delayMs, utilization: 1}));
  assert.ok(shedding.admittedShare < 1);
  const refusals = [URGENT, BATCH].map(priority =>
    shedding.refuse(priority, 0),
  );
  assert.deepEqual(refusals, [undefined, undefined]);
});

// Guards against callers that come back while most of their priority are refused.
test('callers of a priority that is hardly admitted return later', () => {
  const shedding = new LoadShedding();
  Array.from({length: 6}).forEach(() =>
    shedding.noteSample({delayMs: 100, utilization: 1}),
  );
  const retryAfterMs = (priority: number): number =>
    Math.max(
      ...Array.from(
        {length: 20},
        () => shedding.refuse(priority, 0)?.retryAfterMs ?? 0,
      ),
    );
  assert.ok(retryAfterMs(URGENT) < 2_000);
  assert.equal(retryAfterMs(BATCH), 4_000);
});
