import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  playDemand,
  servedShare,
  type DemandOptions,
  type Kind,
  type Outcome,
} from './moving_demand.js';
import {
  brief,
  chat,
  ENGINE_TRAITS,
  PLAIN_TRAITS,
} from './scheduling_fixture.js';

/** Share of callers that get a first answer within their target latency. */
const SERVED_TARGET = 0.9;
/** The same for the worst kind of request of the worst region. */
const REGION_TARGET = 0.8;
const PEAK_MS = 12_000;
const REGIONS = ['north', 'middle', 'south'];
const IDLE_SHARE = 0.06;

/** The rate of a region that is at its peak for a third of the time. */
function inTurn(peakPerS: number): Kind['perS'] {
  return (region, nowMs) => {
    const atPeak = REGIONS[Math.floor(nowMs / PEAK_MS) % REGIONS.length];
    return region === atPeak ? peakPerS : peakPerS * IDLE_SHARE;
  };
}

const CHATS: Kind = {
  name: 'chat',
  create: id => chat(id, {targetLatencyMs: 800}),
  // A class whose homes exclude one region.
  regions: ['north', 'middle'],
  perS: inTurn(73),
};
const BRIEFS: Kind = {
  name: 'brief',
  create: id => brief(id, {targetLatencyMs: 1_220, priority: 1}),
  regions: REGIONS,
  perS: inTurn(14),
};
const PUBLICATIONS: Kind = {
  name: 'publication',
  create: id => {
    const {prompt: _prompt, ...item} = chat(id, {targetLatencyMs: 594});
    return {...item, remainingMs: 3_000};
  },
  regions: REGIONS,
  perS: inTurn(190),
  serviceMs: 86,
};
const ENGINES: DemandOptions = {
  traits: ENGINE_TRAITS,
  domains: [
    {region: 'north', upstreams: 3, slots: 32},
    {region: 'north', upstreams: 2, slots: 32},
    {region: 'middle', upstreams: 2, slots: 32},
    {region: 'middle', upstreams: 2, slots: 32},
    {region: 'south', upstreams: 1, slots: 32},
    {region: 'south', upstreams: 1, slots: 32},
  ],
  kinds: [CHATS, BRIEFS],
  durationMs: 3 * PEAK_MS,
};
/** The demand that is left room for by the loss of a part of the engines. */
const CALMER: readonly Kind[] = [
  {...CHATS, perS: inTurn(60)},
  {...BRIEFS, perS: inTurn(10)},
];
const PLAIN: DemandOptions = {
  ...ENGINES,
  traits: PLAIN_TRAITS,
  domains: REGIONS.flatMap(region => [
    {region, upstreams: 1, slots: 6},
    {region, upstreams: 1, slots: 6},
  ]),
  kinds: [PUBLICATIONS],
};

function assertServed(outcomes: readonly Outcome[]): void {
  const share = servedShare(outcomes);
  assert.ok(share >= SERVED_TARGET, `served ${share.toFixed(3)}`);
  const kinds = [...new Set(outcomes.map(each => each.kind))];
  kinds.forEach(kind =>
    REGIONS.forEach(region => {
      const own = servedShare(
        outcomes.filter(each => each.region === region && each.kind === kind),
      );
      const what = `${kind} of ${region}: served ${own.toFixed(3)}`;
      assert.ok(own >= REGION_TARGET, what);
    }),
  );
}

// Load: a peak that moves over three regions of different size. Guards against
// a region that fills to the edge of its targets while others are idle.
test('a region at its peak uses the room of the others in time', () => {
  assertServed(playDemand(ENGINES));
});

// Load: more plain calls than the slots of their region can run, which is less
// than all regions can. Guards against calls that wait at home until their target
// leaves no time for a second try.
test('plain calls beyond the slots of a region run in others', () => {
  const outcomes = playDemand(PLAIN);
  assertServed(outcomes);
  const soon = outcomes.filter(
    ({answeredMs = Infinity, targetMs}) => answeredMs <= targetMs / 2,
  );
  const share = soon.length / outcomes.length;
  assert.ok(
    share >= SERVED_TARGET,
    `in half of the target ${share.toFixed(3)}`,
  );
});

// Load: the same peak while two of three regions are cut from each other. Guards
// against requests that go on being sent into the cut.
test('two regions that are cut from each other use the third', () => {
  const isCut = (from: string, to: string, nowMs: number): boolean =>
    nowMs >= 4_000 &&
    nowMs < 9_000 &&
    [from, to].every(each => each !== 'south');
  assertServed(playDemand({...ENGINES, kinds: CALMER, isCut}));
});

// Load: a third of the engines of the region at its peak is lost for four seconds.
// Guards against queued requests that stay behind engines which are gone.
test('a region that loses engines at its peak hands over its queue', () => {
  const lostShare = (region: string, nowMs: number): number =>
    region === 'north' && nowMs >= 4_000 && nowMs < 8_000 ? 0.34 : 0;
  const options = {...ENGINES, kinds: CALMER, lostShare};
  assertServed(playDemand(options));
});
