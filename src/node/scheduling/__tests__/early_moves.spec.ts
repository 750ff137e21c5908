import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type DomainId, type RegionId} from '../../types/ids.js';
import {DemandRate} from '../demand_rate.js';
import type {DomainLoad} from '../placement_cost.js';
import type {Scheduler} from '../scheduler.js';
import type {
  CapacityDigest,
  Decision,
  ListedUpstream,
  WorkItem,
} from '../types.js';
import {
  AWAY,
  AWAY_A,
  brief,
  chat,
  createScheduler,
  ENGINE_TRAITS,
  HOME,
  upstream,
} from './scheduling_fixture.js';

const SLOTS = 32;
const IDLE: DomainLoad = {slots: 0.1, prefill: 0.1};
const FULL: DomainLoad = {slots: 0.9, prefill: 0.5};
const ARRIVALS_MS = 10;
/** At this interval chats hold about nine in ten of the slots. */
const FULL_LOAD_ARRIVALS_MS = 46;

function digestOf(
  load: DomainLoad,
  fields: Partial<CapacityDigest> = {},
): CapacityDigest {
  return {
    region: AWAY,
    domain: AWAY_A,
    service: chat('x').service,
    upstreams: 2,
    slots: 2 * SLOTS,
    freeSlots: Math.round(2 * SLOTS * (1 - load.slots)),
    freeTokens: 200_000,
    waitMs: 0,
    readShare: load.prefill,
    load,
    ...fields,
  };
}

function schedulerIn(region: RegionId, domain: DomainId): Scheduler {
  const scheduler = createScheduler(ENGINE_TRAITS, {region, domain});
  const upstreams = [
    upstream('a', {slots: SLOTS}),
    upstream('b', {slots: SLOTS}),
  ];
  scheduler.pool.applyReading({upstreams, readAtMs: 0, lagMs: 0});
  return scheduler;
}

function homeScheduler(): Scheduler {
  return schedulerIn(HOME, asId<DomainId>('home-a'));
}

/** Submits requests at even intervals that all end after the last of them. */
function submitAll(
  scheduler: Scheduler,
  items: readonly WorkItem[],
): readonly Decision[] {
  return items.flatMap((item, index) => {
    scheduler.submit(item, index * ARRIVALS_MS);
    return [
      ...scheduler.takeDecisions(),
      ...scheduler.decide(index * ARRIVALS_MS),
    ];
  });
}

function chats(count: number, fields: Partial<WorkItem>): readonly WorkItem[] {
  return Array.from({length: count}, (_, index) =>
    chat(`r${index}`, {targetLatencyMs: 800, ...fields}),
  );
}

function countOf(
  decisions: readonly Decision[],
  kind: Decision['kind'],
): number {
  return decisions.filter(each => each.kind === kind).length;
}

// Load: a peak that builds up. Guards against a region that moves nothing until
// its slots are taken, and then has queued what is late by the time it moves.
test('requests move while slots are still free at home', () => {
  const scheduler = homeScheduler();
  scheduler.board.record(digestOf(IDLE), 0);
  const decisions = submitAll(scheduler, chats(45, {otherRegions: [AWAY]}));
  const running = scheduler.pool.all().map(each => each.running);
  assert.ok(countOf(decisions, 'offload') > 0, 'some moved');
  assert.ok(
    Math.max(...running) < SLOTS,
    `${running.join()} of ${SLOTS} slots`,
  );
});

// Load: a peak of which a part is bound to its region. Guards against room at
// home that goes to requests which could run elsewhere.
test('what may move leaves the room to what must stay', () => {
  const scheduler = homeScheduler();
  scheduler.board.record(digestOf(IDLE), 0);
  const items = chats(60, {}).map((item, index) =>
    index % 2 === 0 ? item : {...item, otherRegions: [AWAY]},
  );
  const decisions = submitAll(scheduler, items);
  const moved = decisions.filter(each => each.kind === 'offload');
  const granted = decisions.filter(each => each.kind === 'grant');
  const bound = items.filter(each => each.otherRegions.length === 0);
  assert.ok(moved.length > 0, 'some moved');
  assert.equal(
    bound.filter(item =>
      granted.some(each => each.requestId === item.requestId),
    ).length,
    bound.length,
  );
});

// Load: all regions at their peak at once. Guards against requests that cross
// regions for nothing, and against work that swings to and fro.
test('nothing moves between regions that are equally full', () => {
  const scheduler = homeScheduler();
  const decisions = chats(60, {otherRegions: [AWAY]}).flatMap((item, index) => {
    const nowMs = index * FULL_LOAD_ARRIVALS_MS;
    scheduler.board.record(digestOf(FULL), nowMs);
    scheduler.submit(item, nowMs);
    return scheduler.takeDecisions();
  });
  assert.equal(countOf(decisions, 'offload'), 0);
});

// Guards against requests that are moved by digests from before a cut.
test('old digests move nothing early', () => {
  const scheduler = homeScheduler();
  scheduler.board.record(digestOf(IDLE), -800);
  const decisions = submitAll(scheduler, chats(50, {otherRegions: [AWAY]}));
  assert.equal(countOf(decisions, 'offload'), 0);
});

// Load: the domains of two regions at their peak beside one idle region. Guards
// against senders that all rush to the room that one digest shows.
test('many senders together do not overrun one receiver', () => {
  const senders = ['home', 'other'].flatMap(region =>
    ['a', 'b'].map(letter => ({
      region: asId<RegionId>(region),
      domain: asId<DomainId>(`${region}-${letter}`),
    })),
  );
  const load = {slots: 0.5, prefill: 0.1};
  const moved = senders.map(own => {
    const scheduler = schedulerIn(own.region, own.domain);
    senders
      .filter(each => each.domain !== own.domain)
      .forEach(each => scheduler.board.record(digestOf(FULL, each), 0));
    scheduler.board.record(digestOf(load), 0);
    const items = Array.from({length: 64}, (_, index) =>
      chat(`${own.domain}-${index}`, {
        targetLatencyMs: 800,
        otherRegions: [AWAY],
      }),
    );
    items.forEach(item => scheduler.submit(item, 0));
    return countOf(scheduler.takeDecisions(), 'offload');
  });
  const total = moved.reduce((sum, each) => sum + each, 0);
  const free = digestOf(load).freeSlots;
  assert.ok(total > 0, 'some moved');
  assert.ok(total <= free, `${moved.join(' + ')} moved to ${free} free slots`);
});

// Guards against long prompts that move though their shared part would be read
// anew, while streams hold the slots and would leave for less.
test('where slots are scarce, streams move before long prompts', () => {
  const scheduler = homeScheduler();
  scheduler.board.record(digestOf(IDLE), 0);
  const fields = {otherRegions: [AWAY], targetLatencyMs: 1_000, priority: 0};
  const items = Array.from({length: 80}, (_, index) =>
    index % 8 === 0 ? brief(`b${index}`, fields) : chat(`c${index}`, fields),
  );
  const moved = submitAll(scheduler, items)
    .filter(each => each.kind === 'offload')
    .map(each => each.requestId.slice(0, 1));
  const share = (kind: string, all: number): number =>
    moved.filter(each => each === kind).length / all;
  assert.ok(share('c', 70) > share('b', 10), moved.join(''));
});

// Load: demand that rises for three seconds and then falls. Guards against forecasts
// that lag behind the demand by the window of their average.
test('the rate of arrivals is foreseen from its trend', () => {
  const rate = new DemandRate();
  const perMs = (nowMs: number): number => {
    if (nowMs < 10_000) return 0.05;
    return nowMs < 13_000 ? 0.05 + (nowMs - 10_000) / 20_000 : 0.05;
  };
  const foreseen = Array.from({length: 13_601}, (_, nowMs) => {
    rate.note(perMs(nowMs), nowMs);
    return rate.foreseenPerMs(1_000, nowMs);
  });
  const [steady = 0, rising = 0, falling = 0] = [9_999, 12_000, 13_600].map(
    nowMs => foreseen[nowMs],
  );
  assert.ok(Math.abs(steady - perMs(9_999)) < 0.002, `steady ${steady}`);
  assert.ok(rising > perMs(12_000), `rising ${rising}`);
  assert.ok(falling < perMs(12_000), `falling ${falling}`);
});

// Load: a peak while the other region is evacuated, or its upstreams are cold or
// drained. Guards against requests that cross regions to find nothing.
test('a domain whose upstreams take no load attracts nothing', () => {
  const away = (fields: Partial<ListedUpstream>): Scheduler => {
    const scheduler = createScheduler(ENGINE_TRAITS, {
      region: AWAY,
      domain: AWAY_A,
    });
    const upstreams = ['c', 'd'].map(name =>
      upstream(name, {slots: SLOTS, domain: AWAY_A, ...fields}),
    );
    scheduler.pool.applyReading({upstreams, readAtMs: 0, lagMs: 0});
    return scheduler;
  };
  const evacuated = away({});
  evacuated.setEvacuated([AWAY_A], 0);
  const receivers = {
    usable: away({}),
    evacuated,
    cold: away({coldRemainingMs: 60_000}),
    draining: away({isDraining: true}),
  };
  const hasMoved = Object.entries(receivers).map(([name, receiver]) => {
    const scheduler = homeScheduler();
    scheduler.board.record(receiver.digest(chat('x').service, 0), 0);
    const decisions = submitAll(scheduler, chats(45, {otherRegions: [AWAY]}));
    return [name, countOf(decisions, 'offload') > 0];
  });
  assert.deepEqual(Object.fromEntries(hasMoved), {
    usable: true,
    evacuated: false,
    cold: false,
    draining: false,
  });
});
