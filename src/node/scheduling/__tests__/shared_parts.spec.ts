import assert from 'node:assert/strict';
import {test} from 'node:test';
import {asId, type DomainId, type RegionId} from '../../types/ids.js';
import {HotParts, heldTokens, partKey} from '../hot_parts.js';
import {
  AWAY,
  AWAY_A,
  brief,
  createScheduler,
  ENGINE_TRAITS,
  upstream,
} from './scheduling_fixture.js';

const MAX_PARTS = 48;
const WARM = asId<RegionId>('warm');
const SENT = 24;

function promptWith(partId: string) {
  const shared = {partId, tokens: 6_000};
  const own = {partId: `${partId}-own`, tokens: 3_000};
  const tokens = {promptTokens: 9_000, maxOutputTokens: 60};
  return {...tokens, expectedOutputTokens: 50, parts: [shared, own]};
}

// Load: long prompts that share a part, in a region at its peak beside two idle
// ones. Guards against a part that is read again where nobody holds it, while
// the region that holds it has room.
test('prompts move to the region that holds their shared part', () => {
  const away = createScheduler(ENGINE_TRAITS, {region: AWAY, domain: AWAY_A});
  const warm = createScheduler(ENGINE_TRAITS, {
    region: WARM,
    domain: asId<DomainId>('warm-a'),
  });
  const home = createScheduler(ENGINE_TRAITS);
  const listed = ['a', 'b'].map(name => upstream(name, {slots: 32}));
  [away, warm, home].forEach(each =>
    each.pool.applyReading({upstreams: listed, readAtMs: 0, lagMs: 0}),
  );
  warm.submit(brief('first'), 0);
  [away, warm].forEach(each =>
    home.board.record(each.digest(brief('x').service, 500), 500),
  );
  const regions = Array.from({length: SENT}, (_, index) => {
    const otherRegions = [AWAY, WARM];
    home.submit(brief(`b${index}`, {otherRegions, priority: 0}), 500);
    const [decision] = home.takeDecisions();
    return decision?.kind === 'offload' ? decision.region : 'home';
  });
  const countOf = (region: string): number =>
    regions.filter(each => each === region).length;
  assert.ok(countOf(WARM) > 2 * countOf(AWAY), regions.join());
});

// Guards against digests that grow with the number of parts, and against parts
// that are named after they were evicted.
test('digests name the parts used last that are still held', () => {
  const hot = new HotParts();
  Array.from({length: 2 * MAX_PARTS}, (_, index) =>
    hot.note(promptWith(`part-${index}`)),
  );
  const all = hot.keys(() => true);
  assert.equal(all.length, MAX_PARTS);
  assert.equal(all.at(-1), partKey(`part-${2 * MAX_PARTS - 1}`));
  assert.deepEqual(
    hot.keys(() => false),
    [],
  );
  const known = new Set(all);
  assert.equal(
    heldTokens(promptWith(`part-${2 * MAX_PARTS - 1}`), known),
    6_000,
  );
  assert.equal(heldTokens(promptWith('part-0'), known), 0);
});
