import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  asId,
  type ServiceId,
  type SoftwareVersion,
  type UpstreamId,
} from '../../types/ids.js';
import type {Scheduler} from '../scheduler.js';
import type {CapacityDigest, ListedUpstream, WorkItem} from '../types.js';
import {
  AWAY,
  AWAY_A,
  brief,
  createScheduler,
  ENGINE_TRAITS,
  toLine,
  upstream,
} from './scheduling_fixture.js';

const V1 = asId<SoftwareVersion>('v1');
const V2 = asId<SoftwareVersion>('v2');
const BEGUN_AT_V1: Partial<WorkItem> = {begun: {softwareVersion: V1}};

function read(
  scheduler: Scheduler,
  upstreams: readonly ListedUpstream[],
  readAtMs: number,
): void {
  scheduler.pool.applyReading({upstreams, readAtMs, lagMs: 0});
}

function schedulerOf(...upstreams: readonly ListedUpstream[]): Scheduler {
  const scheduler = createScheduler(ENGINE_TRAITS);
  read(scheduler, upstreams, 0);
  return scheduler;
}

function decideOn(
  scheduler: Scheduler,
  item: WorkItem,
  nowMs: number,
): readonly string[] {
  scheduler.submit(item, nowMs);
  return scheduler.decide(nowMs).map(toLine);
}

// Guards against a stream that goes on at an upstream which does not fit what
// the caller has, because that one is less busy.
test('a begun stream is placed at its software version only', () => {
  const scheduler = schedulerOf(
    upstream('old', {softwareVersion: V1, slots: 2}),
    upstream('new', {softwareVersion: V2}),
  );
  assert.deepEqual(
    [
      decideOn(scheduler, brief('a', BEGUN_AT_V1), 0),
      decideOn(scheduler, brief('b', BEGUN_AT_V1), 500),
      decideOn(scheduler, brief('c', {begun: {softwareVersion: V2}}), 500),
      decideOn(
        scheduler,
        brief('d', {begun: {softwareVersion: undefined}}),
        500,
      ),
    ],
    [['a -> old'], ['b -> old'], ['c -> new'], ['d refused: version_gone']],
  );
});

// Guards against callers that return again and again for a version that has
// left, and against those that are sent away although it is only down.
test('a version that has left is told from one that is down', () => {
  const down = schedulerOf(
    upstream('old', {softwareVersion: V1}),
    upstream('new', {softwareVersion: V2}),
  );
  down.pool.suspect(asId<UpstreamId>('old'), 0);
  down.pool.noteProbeFailure(asId<UpstreamId>('old'), 0, true);
  const left = schedulerOf(upstream('new', {softwareVersion: V2}));
  const refusals = [down, left].map(scheduler => {
    scheduler.submit(brief('a', {...BEGUN_AT_V1, remainingMs: 3_500}), 10);
    return scheduler
      .takeDecisions()
      .map(each =>
        each.kind === 'refuse' ? [each.reason, each.retryAfterMs] : [],
      );
  });
  assert.deepEqual(refusals, [
    [['no_upstream', 2_000]],
    [['version_gone', 3_500]],
  ]);
});

// Guards against a stream that is refused although another region could go on.
test('a begun stream goes to a region that has its version', () => {
  const scheduler = schedulerOf(upstream('new', {softwareVersion: V2}));
  const digest: CapacityDigest = {
    region: AWAY,
    domain: AWAY_A,
    service: asId<ServiceId>('service'),
    upstreams: 2,
    softwareVersions: [V1, V2],
    freeSlots: 100,
    freeTokens: 400_000,
    waitMs: 0,
    readShare: 0,
  };
  scheduler.board.record(digest, 0);
  const item = brief('a', {...BEGUN_AT_V1, otherRegions: [AWAY]});
  const before = decideOn(scheduler, item, 10);
  scheduler.board.record({...digest, softwareVersions: [V2]}, 20);
  assert.deepEqual(
    [
      before,
      decideOn(scheduler, {...item, requestId: brief('b').requestId}, 30),
    ],
    [['a to region away'], ['b refused: version_gone']],
  );
});

// Guards against an upstream that restarts under its id with another version,
// while the list still shows the former one.
test('the version of a restarted upstream is unknown until it is listed', () => {
  const id = asId<UpstreamId>('old');
  const listed = upstream('old', {softwareVersion: V1});
  const scheduler = schedulerOf(listed);
  scheduler.pool.suspect(id, 100);
  scheduler.pool.noteProbeFailure(id, 100, true);
  scheduler.pool.noteProbe(id, 0, 200);
  const before = decideOn(scheduler, brief('a', BEGUN_AT_V1), 300);
  const restarted = {...listed, bornAtMs: 2, softwareVersion: V2};
  read(scheduler, [restarted], 400);
  const after = decideOn(scheduler, brief('b', BEGUN_AT_V1), 500);
  read(scheduler, [{...restarted, softwareVersion: V1}], 600);
  const same = decideOn(scheduler, brief('c', BEGUN_AT_V1), 2_000);
  assert.deepEqual(
    [before, after, same],
    [['a refused: no_upstream'], ['b refused: version_gone'], ['c -> old']],
  );
});
