/** Guards against placement that ignores a shift of demand, or that flaps. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type ModelId, type UpstreamId} from '../../../types/ids.js';
import {
  IDLE_PACING,
  mayTransfer,
  withTransfer,
} from '../../../adapters/weights/pacing.js';
import {NO_DEMAND, observeDemand, predictedDemand} from '../demand.js';
import {
  applyChange,
  decidePlacement,
  DEFAULT_LIMITS,
  type PlacementChange,
  type PlacementUpstream,
  servedSlots,
} from '../placement.js';

const A = asId<ModelId>('a');
const B = asId<ModelId>('b');
const STEP_MS = 5_000;

function upstreams(loaded: readonly ModelId[]): PlacementUpstream[] {
  return loaded.map((modelId, index) => ({
    upstreamId: asId<UpstreamId>(`worker-${index}`),
    slotCount: 16,
    modelIds: [A, B],
    loaded: [modelId],
    maxLoaded: 1,
    leaving: false,
  }));
}

/** Runs placement on the demand that `observe` returns for each time. */
function simulate(
  start: PlacementUpstream[],
  observe: (nowMs: number) => [number, number],
  durationMs: number,
): {changes: PlacementChange[]; end: PlacementUpstream[]; served: number} {
  const changes: PlacementChange[] = [];
  const last = new Map<UpstreamId, number>();
  let current = start;
  let demand = NO_DEMAND;
  for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
    const [a, b] = observe(nowMs);
    demand = observeDemand(
      demand,
      new Map([
        [A, a],
        [B, b],
      ]),
      nowMs,
    );
    const predicted = predictedDemand(demand);
    if (predicted === undefined) continue;
    const change = decidePlacement(
      current,
      predicted,
      last,
      DEFAULT_LIMITS,
      nowMs,
    );
    if (change === undefined) continue;
    changes.push(change);
    last.set(change.upstreamId, nowMs);
    current = applyChange(current, change);
  }
  return {changes, end: current, served: servedSlots(current, demand.slots)};
}

test('placement follows demand that moves to another model', () => {
  const {end, served} = simulate(
    upstreams([A, A, A, B]),
    nowMs => (nowMs < 600_000 ? [45, 12] : [12, 45]),
    1_800_000,
  );
  const loadedB = end.filter(({loaded}) => loaded.includes(B)).length;
  assert.equal(loadedB, 3);
  assert.ok(served > 56, `served ${served} of 57 slots`);
});

test('placement does not flap when demand is noisy around a boundary', () => {
  let state = 7;
  const noise = (): number => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return (state / 2 ** 32 - 0.5) * 30;
  };
  const {changes} = simulate(
    upstreams([A, A, B, B]),
    () => [32 + noise(), 32 + noise()],
    3_600_000,
  );
  assert.equal(changes.length, 0);
});

test('an upstream is not changed twice within its cool-down', () => {
  const swing = (nowMs: number): [number, number] =>
    Math.floor(nowMs / 120_000) % 2 === 0 ? [40, 4] : [4, 40];
  const {changes} = simulate(upstreams([A, A, B]), swing, 3_600_000);
  const most = 3 * (3_600_000 / DEFAULT_LIMITS.minBetweenChangesMs);
  assert.ok(changes.length <= most, `${changes.length} changes`);
});

test('the last copy of a model in demand and leaving upstreams are not changed', () => {
  const [only, leaving] = upstreams([A, B]);
  assert.ok(only !== undefined && leaving !== undefined);
  const decide = (list: PlacementUpstream[]): PlacementChange | undefined =>
    decidePlacement(
      list,
      new Map([
        [A, 1],
        [B, 90],
      ]),
      new Map(),
      DEFAULT_LIMITS,
      0,
    );
  assert.equal(decide([only]), undefined);
  assert.equal(decide([only, {...leaving, leaving: true}]), undefined);
});

test('transfers from the weight store stay within its rate', () => {
  const first = withTransfer(IDLE_PACING, 10e9, 1e9, 1_000);
  assert.equal(mayTransfer(first, 10_999), false);
  assert.equal(mayTransfer(first, 11_000), true);
  const second = withTransfer(first, 5e9, 1e9, 2_000);
  assert.equal(second.busyUntilMs, 16_000);
});
