import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  asId,
  type ModelId,
  type RankId,
  type RequestId,
  type WorkspaceId,
} from '../../types/ids.js';
import {
  AdmissionQueue,
  poolOfModel,
  type AdmissionRequest,
  type AdmissionVerdict,
} from '../index.js';

const POOL = poolOfModel(asId<ModelId>('m'));
const URGENT = asId<RankId>('urgent');
const BATCH = asId<RankId>('batch');
const RANKS = [
  {rankId: BATCH, priority: 1, firstTokenTargetMs: 60_000, floorShare: 0.2},
  {rankId: URGENT, priority: 0, firstTokenTargetMs: 2_000, floorShare: 0.5},
];
const SERVICE_MS = 100;

function queue(slotCount: number, maxQueued = 10_000): AdmissionQueue {
  const admission = new AdmissionQueue({
    ranks: RANKS,
    maxQueued,
    maxWorkspaceShare: 1,
  });
  admission.setSlots(POOL, {
    shareSlots: slotCount,
    startableSlots: slotCount,
    startableBesideReserve: slotCount,
    sharedPoolIds: [],
    meanServiceMs: SERVICE_MS,
  });
  return admission;
}

function request(
  index: number,
  change: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    requestId: asId<RequestId>(`r${index}`),
    workspaceId: asId<WorkspaceId>('w'),
    poolId: POOL,
    rankId: URGENT,
    fairWeight: 1,
    deadlineAtMs: 1e9,
    expectedFirstTokenMs: 10,
    ...change,
  };
}

/** Runs one slot for a number of rounds; returns the started requests. */
function serve(
  admission: AdmissionQueue,
  rounds: number,
): readonly AdmissionRequest[] {
  return Array.from({length: rounds}).flatMap((_, round) => {
    const started = admission.next(round * SERVICE_MS);
    if (started === undefined) return [];
    admission.complete(started.request.requestId, (round + 1) * SERVICE_MS);
    return [started.request];
  });
}

const shareOf = (
  started: readonly AdmissionRequest[],
  isCounted: (each: AdmissionRequest) => boolean,
): number => started.filter(isCounted).length / started.length;

// Guards against starvation of a less urgent rank by a flood of urgent
// requests, and against a less urgent rank that then gets more than its floor.
test('a less urgent rank gets its floor and no more during an urgent flood', () => {
  const admission = queue(1);
  Array.from({length: 19}, (_, index) => index).forEach(index =>
    admission.enqueue(request(index), 0),
  );
  Array.from({length: 300}, (_, index) => index).forEach(index =>
    admission.enqueue(request(1_000 + index, {rankId: BATCH}), 0),
  );
  const started = Array.from({length: 200}).flatMap((_, round) => {
    admission.enqueue(request(2_000 + round), round * SERVICE_MS);
    const next = admission.next(round * SERVICE_MS);
    if (next === undefined) return [];
    admission.complete(next.request.requestId, (round + 1) * SERVICE_MS);
    return [next.request];
  });
  const share = shareOf(started, each => each.rankId === BATCH);
  assert.ok(Math.abs(share - 0.2) < 0.02, `share ${share}`);
});

// Guards against urgent requests queued behind a flood of less urgent ones.
test('an urgent request starts before a backlog of less urgent ones', () => {
  const admission = queue(1);
  Array.from({length: 300}, (_, index) => index).forEach(index =>
    admission.enqueue(request(index, {rankId: BATCH}), 0),
  );
  const verdict = admission.enqueue(request(1_000), 0);
  assert.equal(verdict.kind, 'queued');
  assert.equal(admission.next(0)?.request.rankId, URGENT);
});

// Guards against a workspace that gets more than its share by sending more.
test('workspaces share a rank by weight, however many requests they send', () => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: 4}), {minLength: 2, maxLength: 4}),
      fc.integer({min: 0, max: 3}),
      (weights, floodingIndex) => {
        const admission = queue(1);
        weights.forEach((fairWeight, at) =>
          Array.from({length: at === floodingIndex ? 400 : 200}).forEach(
            (_, index) =>
              admission.enqueue(
                request(at * 1_000 + index, {
                  workspaceId: asId<WorkspaceId>(`w${at}`),
                  rankId: BATCH,
                  fairWeight,
                }),
                0,
              ),
          ),
        );
        const started = serve(admission, 120);
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        weights.forEach((weight, at) => {
          const share = shareOf(started, each => each.workspaceId === `w${at}`);
          const bound = 2 / started.length + 0.001;
          assert.ok(Math.abs(share - weight / total) <= bound);
        });
      },
    ),
    {seed: 11, numRuns: 60},
  );
});

// Guards against cache misses in a backlog because requests ignore where their
// prefix is cached, and against starvation of a request whose prefix never has
// a free owner.
test('preferred requests go first without starving the others', () => {
  const admission = queue(1);
  Array.from({length: 20}, (_, index) => index).forEach(index =>
    admission.enqueue(
      request(index, {
        rankId: BATCH,
        workspaceId: asId<WorkspaceId>(index % 2 === 0 ? 'even' : 'odd'),
      }),
      0,
    ),
  );
  const order = Array.from({length: 20}, (_, round) => {
    const started = admission.next(0, each => each.workspaceId === 'odd');
    const id = started?.request.requestId ?? asId<RequestId>('none');
    assert.ok(admission.complete(id, round));
    return id;
  });
  assert.deepEqual(order.slice(0, 3), ['r1', 'r3', 'r5']);
  assert.ok(order.indexOf(asId<RequestId>('r0')) <= 8);
  assert.equal(new Set(order).size, 20);
});

type Event =
  | {readonly kind: 'enqueue'; readonly rank: RankId; readonly ttlMs: number}
  | {readonly kind: 'next'}
  | {readonly kind: 'complete' | 'remove'; readonly index: number}
  | {readonly kind: 'wait'; readonly byMs: number};

const anyEvent: fc.Arbitrary<Event> = fc.oneof(
  fc.record({
    kind: fc.constant('enqueue' as const),
    rank: fc.constantFrom(URGENT, BATCH),
    ttlMs: fc.integer({min: 1, max: 3_000}),
  }),
  fc.constant({kind: 'next' as const}),
  fc.record({
    kind: fc.constantFrom('complete' as const, 'remove' as const),
    index: fc.nat(40),
  }),
  fc.record({
    kind: fc.constant('wait' as const),
    byMs: fc.integer({min: 1, max: 800}),
  }),
);

// Guards against slots that leak or are released twice, lost requests, and
// starts after the deadline.
test('slots are conserved and each request ends exactly once', () => {
  fc.assert(
    fc.property(fc.array(anyEvent, {maxLength: 150}), events => {
      const admission = queue(3, 20);
      const state = {nowMs: 0, sent: 0, ended: 0, running: new Set<string>()};
      const step = (event: Event): void => {
        if (event.kind === 'wait') state.nowMs += event.byMs;
        if (event.kind === 'enqueue') {
          const verdict = admission.enqueue(
            request(state.sent, {
              rankId: event.rank,
              deadlineAtMs: state.nowMs + event.ttlMs,
            }),
            state.nowMs,
          );
          state.sent += 1;
          if (verdict.kind === 'refused') state.ended += 1;
        }
        if (event.kind === 'next') {
          const started = admission.next(state.nowMs)?.request;
          if (started === undefined) return;
          assert.ok(started.deadlineAtMs > state.nowMs);
          assert.ok(!state.running.has(started.requestId));
          state.running.add(started.requestId);
        }
        if (event.kind === 'remove') {
          const id = asId<RequestId>(`r${event.index}`);
          if (admission.remove(id) === 'queued') state.ended += 1;
        }
        if (event.kind === 'complete') {
          const id = asId<RequestId>(`r${event.index}`);
          const isReleased = admission.complete(id, state.nowMs);
          assert.equal(isReleased, state.running.delete(id));
          if (isReleased) state.ended += 1;
        }
      };
      events.forEach(event => {
        step(event);
        state.ended += admission.expire(state.nowMs).length;
        const counts = admission.counts(POOL);
        assert.ok(counts.running <= 3);
        assert.equal(counts.running, state.running.size);
        assert.equal(counts.queued, state.sent - state.ended - counts.running);
      });
    }),
    {seed: 13, numRuns: 300},
  );
});

// Guards against queueing a request that will be late, where an early rejection
// lets the caller go elsewhere, and against rejections without a cause or a
// retry time.
test('a request that would be late is rejected early, with the cause', () => {
  const admission = new AdmissionQueue({ranks: RANKS, maxQueued: 8});
  const causeOf = (verdict: AdmissionVerdict): string =>
    verdict.kind === 'refused' ? verdict.cause : verdict.kind;
  assert.equal(causeOf(admission.enqueue(request(0), 0)), 'no_capacity');
  admission.setSlots(POOL, {
    shareSlots: 1,
    startableSlots: 1,
    startableBesideReserve: 1,
    sharedPoolIds: [],
    meanServiceMs: 1_500,
  });
  assert.equal(causeOf(admission.enqueue(request(1), 0)), 'queued');
  assert.ok(admission.next(0));
  assert.equal(causeOf(admission.enqueue(request(1), 0)), 'duplicate');
  assert.equal(causeOf(admission.enqueue(request(2), 0)), 'queued');
  const late = admission.enqueue(request(3), 0);
  assert.equal(causeOf(late), 'would_be_late');
  assert.ok(late.kind === 'refused' && late.retryAfterMs >= 100);
  const batch = (index: number, workspace: string): AdmissionVerdict =>
    admission.enqueue(
      request(index, {
        rankId: BATCH,
        workspaceId: asId<WorkspaceId>(workspace),
      }),
      0,
    );
  assert.equal(causeOf(batch(10, 'a')), 'queued');
  assert.equal(causeOf(batch(11, 'a')), 'workspace_bound');
  assert.equal(causeOf(batch(12, 'b')), 'queued');
  assert.equal(causeOf(batch(13, 'c')), 'queued');
  assert.equal(causeOf(batch(14, 'd')), 'queued');
  assert.equal(causeOf(batch(15, 'e')), 'queue_full');
});

// Guards against an entry that exits at its start: it summarizes the backlog of
// the ranks of a new configuration before the queue was replaced.
test('a rank of a configuration that is not in force yet has no backlog', () => {
  const admission = queue(4);
  assert.equal(admission.backlogMs(POOL, asId<RankId>('new'), 0), 0);
});
