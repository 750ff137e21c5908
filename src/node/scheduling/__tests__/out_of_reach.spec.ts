import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  asId,
  type InstanceId,
  type ServiceId,
  type UpstreamId,
} from '../../types/ids.js';
import type {Scheduler} from '../scheduler.js';
import type {CapacityDigest, PlacementOutcome, WorkItem} from '../types.js';
import {
  AWAY,
  AWAY_A,
  brief,
  chat,
  createScheduler,
  ENGINE_TRAITS,
  toLine,
  upstream,
} from './scheduling_fixture.js';

const CUT_OFF = asId<InstanceId>('cut-off');
const NAMES = ['a', 'b'].map(name => asId<UpstreamId>(name));

function createWithUpstreams(): Scheduler {
  const scheduler = createScheduler(ENGINE_TRAITS);
  scheduler.pool.applyReading({
    upstreams: NAMES.map(name => upstream(name)),
    readAtMs: 0,
    lagMs: 0,
  });
  const digest: CapacityDigest = {
    region: AWAY,
    domain: AWAY_A,
    service: asId<ServiceId>('service'),
    upstreams: 2,
    freeSlots: 100,
    freeTokens: 400_000,
    waitMs: 0,
    readShare: 0,
  };
  scheduler.board.record(digest, 0);
  return scheduler;
}

function decideOn(
  scheduler: Scheduler,
  name: string,
  fields: Partial<WorkItem>,
): readonly string[] {
  scheduler.submit(chat(name, {entry: CUT_OFF, ...fields}), 10);
  return scheduler.decide(10).map(toLine);
}

// Guards against requests that are sent to an upstream which their entry cannot
// reach, and against a way through another region while a nearer one is there.
test('a request avoids upstreams that its entry cannot reach', () => {
  const scheduler = createWithUpstreams();
  const [first] = NAMES;
  const all = {unreachable: NAMES, otherRegions: [AWAY]};
  assert.deepEqual(
    [
      decideOn(scheduler, 'one', {unreachable: first ? [first] : []}),
      decideOn(scheduler, 'peer', {...all, mayUsePeer: true}),
      decideOn(scheduler, 'no-peer', {...all, mayUsePeer: false}),
      decideOn(scheduler, 'homed', {unreachable: NAMES}),
    ],
    [
      ['one -> b'],
      ['peer to region home'],
      ['no-peer to region away'],
      ['homed refused: no_upstream'],
    ],
  );
});

// Guards against an entry that takes an upstream from all others because it
// cannot open a connection to it itself.
test('a failed connection of one entry takes no upstream from the others', () => {
  const scheduler = createWithUpstreams();
  const [first] = NAMES;
  assert.ok(first !== undefined);
  const release = (name: string, outcome: 'answered' | 'unreachable'): void =>
    scheduler.release(
      [
        {
          requestId: chat(name).requestId,
          upstreamId: first,
          outcome,
          firstAnswerMs: 20,
          totalMs: 20,
        },
      ],
      20,
    );
  const reachable = {unreachable: NAMES.slice(1)};
  decideOn(scheduler, 'x', {
    ...reachable,
    entry: asId<InstanceId>('sound'),
  });
  decideOn(scheduler, 'y', reachable);
  release('x', 'answered');
  release('y', 'unreachable');
  const stillUp = scheduler.pool.get(first)?.isDown;
  decideOn(scheduler, 'z', reachable);
  scheduler.release(
    [
      {
        requestId: chat('z').requestId,
        upstreamId: first,
        outcome: 'unreachable',
        firstAnswerMs: 0,
        totalMs: 800,
      },
    ],
    1_000,
  );
  assert.deepEqual([stillUp, scheduler.pool.get(first)?.isDown], [false, true]);
});

// Guards against an engine that restarts cold, unnoticed: the first failed connection
// after its crash is taken for a lost path, as another entry has just heard from it.
test('a failed connection has the upstream probed, so that coldness shows', () => {
  const scheduler = createWithUpstreams();
  const [first] = NAMES;
  assert.ok(first !== undefined);
  const reachable = {unreachable: NAMES.slice(1)};
  const end = (name: string, outcome: PlacementOutcome, nowMs: number): void =>
    scheduler.release(
      [
        {
          requestId: chat(name).requestId,
          upstreamId: first,
          outcome,
          firstAnswerMs: 20,
          totalMs: 20,
        },
      ],
      nowMs,
    );
  const {pool} = scheduler;
  const probed = (): readonly string[] =>
    pool.toProbe().map(each => each.listed.upstreamId);
  decideOn(scheduler, 'x', {...reachable, entry: asId<InstanceId>('sound')});
  decideOn(scheduler, 'y', reachable);
  end('x', 'answered', 20);
  end('y', 'unreachable', 100);
  const afterFailure = probed();
  pool.noteProbeFailure(first, 200, true);
  const afterRefusal = probed();
  pool.noteProbe(first, 2_000, 600);
  assert.deepEqual(
    {
      afterFailure,
      afterRefusal,
      afterAnswer: probed(),
      isCold: pool.get(first)?.isCold(700),
    },
    {
      afterFailure: ['a'],
      afterRefusal: ['a'],
      afterAnswer: [],
      isCold: true,
    },
  );
});

// Guards against urgent requests that are refused although another region would serve
// them before the less urgent ones which queue there.
test('a request without upstreams is offered the room that it would get', () => {
  const scheduler = createWithUpstreams();
  scheduler.board.record(
    {
      region: AWAY,
      domain: AWAY_A,
      service: asId<ServiceId>('service'),
      upstreams: 2,
      freeSlots: -10,
      freeTokens: 400_000,
      waitMs: 2_000,
      loads: [
        {priority: -1, queued: 0, waitMs: 0},
        {priority: 2, queued: 20, waitMs: 2_000},
      ],
      readShare: 0,
    },
    0,
  );
  const fields = {unreachable: NAMES, otherRegions: [AWAY]};
  scheduler.submit(chat('urgent', fields), 10);
  scheduler.submit(brief('patient', fields), 10);
  assert.deepEqual(scheduler.decide(10).map(toLine), [
    'urgent to region away',
    'patient refused: no_upstream',
  ]);
});

// Guards against a digest that hides what a request would overtake.
test('a digest tells the load ahead of each priority', () => {
  const scheduler = createScheduler(ENGINE_TRAITS);
  // Before the list is read, all requests wait.
  [brief('patient'), chat('urgent')].forEach(item => scheduler.submit(item, 0));
  const {loads = []} = scheduler.digest(asId<ServiceId>('service'), 0);
  assert.deepEqual(
    loads.map(({priority, queued}) => [priority, queued]),
    [
      [-1, 0],
      [0, 1],
      [2, 2],
    ],
  );
});
