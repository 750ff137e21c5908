import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  MemoryRegion,
  type RegionEntry,
} from '../../dispatch/__tests__/support/memory_region.js';
import {UpstreamLimits} from '../../dispatch/upstream_limits.js';
import {UpstreamNotices} from '../../dispatch/upstream_notices.js';
import type {Logger} from '../../logging/logger.js';
import {
  chat,
  HOME_A,
  upstream,
} from '../../scheduling/__tests__/scheduling_fixture.js';
import {monotonicNowMs, setMonotonicSource} from '../../clock/clock.js';
import {asId, type ServiceId} from '../../types/ids.js';
import {GrantSource} from '../grant_source.js';
import {RetryShares} from '../retry_shares.js';

const ENTRIES = 8;
const REQUESTS_PER_ENTRY = 30;
const DEPLOYMENT = {ratio: 0.2, windowMs: 10_000, slack: 56};
const SERVICE = asId<ServiceId>('service');
const SILENT = {info: () => undefined} as unknown as Logger;
const NEVER = new AbortController().signal;

/** The clock of the test, which it advances by hand. */
function mockClock(t: TestContext): (byMs: number) => void {
  let nowMs = 0;
  const {restore} = setMonotonicSource(() => nowMs);
  t.after(restore);
  return byMs => {
    nowMs += byMs;
  };
}

function sharesAmong(entries: number): RetryShares {
  return new RetryShares({
    deployment: DEPLOYMENT,
    entries: () => entries,
    logger: SILENT,
  });
}

/** How many retries the share allows at once. */
function retriesFrom(shares: RetryShares): number {
  return Array.from({length: 100}).filter(() => {
    const isAllowed = shares.allowsRetry(SERVICE);
    if (isAllowed) shares.noteRetry(SERVICE);
    return isAllowed;
  }).length;
}

/** Sends requests and a repeat of each; returns how many repeats are granted. */
async function repeatAll(
  {instance, client}: RegionEntry,
  retryShares: RetryShares,
): Promise<number> {
  const names = Array.from(
    {length: REQUESTS_PER_ENTRY},
    (_, index) => `${instance.instanceId}-${index}`,
  );
  const ask = async (name: string, isRepeat: boolean): Promise<number> => {
    const source = new GrantSource({
      scheduler: client,
      limits: new UpstreamLimits(),
      notices: new UpstreamNotices(),
      retryShares,
      evacuatedDomains: () => [],
    });
    const {instanceId: entry} = instance;
    const item = chat(name, {entry, isRepeat});
    const answer = await source.acquire(() => item, NEVER);
    return answer.kind === 'grant' ? 1 : 0;
  };
  await Promise.all(names.map(name => ask(name, false)));
  const granted = await Promise.all(
    names.map(name => ask(`${name}-again`, true)),
  );
  return granted.reduce((sum, each) => sum + each, 0);
}

// Guards against a slack that each of several schedulers spends, as while the views of
// entries differ: here each entry takes all others for lost and schedules by itself.
test('entries that schedule apart keep to the budget together', async t => {
  const region = new MemoryRegion({
    domains: [HOME_A],
    entriesInDomain: ENTRIES,
    upstreams: ['a', 'b'].map(name => upstream(name, {slots: 1_000})),
  });
  t.after(() => region.stop());
  const {entries} = region;
  entries.forEach(({instance, members}) =>
    entries
      .filter(each => each.instance !== instance)
      .forEach(each =>
        members.suspect(each.instance.instanceId, monotonicNowMs()),
      ),
  );
  const granted = await Promise.all(
    entries.map(each => repeatAll(each, sharesAmong(ENTRIES))),
  );
  const schedulers = entries.filter(({host}) => host.scopes().length > 0);
  const repeats = granted.reduce((sum, each) => sum + each, 0);
  const {ratio, slack} = DEPLOYMENT;
  const allowed = ratio * REQUESTS_PER_ENTRY * ENTRIES + slack;
  assert.equal(schedulers.length, ENTRIES);
  assert.ok(repeats <= allowed, `${repeats} repeats of ${allowed} allowed`);
  assert.ok(repeats > 0, 'requests are repeated');
});

// Guards against shares so small that a deployment loses retries after a crash of
// upstreams: the retries of one entry, by the requests that it sent in the window.
test('a share allows the retries that crashes of some upstreams need', t => {
  const advance = mockClock(t);
  const retriesOf = (entries: number, requests: number): number => {
    const shares = sharesAmong(entries);
    advance(DEPLOYMENT.windowMs);
    Array.from({length: requests}).forEach(() => shares.noteRequest(SERVICE));
    return retriesFrom(shares);
  };
  assert.deepEqual(
    [3, 14, 28, 56, 200].map(entries => [
      entries,
      ...[1, 10, 100].map(requests => retriesOf(entries, requests)),
    ]),
    [
      [3, 18, 20, 38],
      [14, 4, 6, 24],
      [28, 2, 4, 22],
      [56, 1, 3, 21],
      [200, 1, 3, 21],
    ],
  );
});

// Guards against a process that spends, as it starts, the slack which the process
// before it has just spent.
test('a process has little of its slack at first, then half of it for a window', t => {
  const advance = mockClock(t);
  const shares = sharesAmong(14);
  const granted = [0, 2_000, DEPLOYMENT.windowMs, 2 * DEPLOYMENT.windowMs].map(
    afterMs => {
      advance(afterMs);
      return retriesFrom(shares);
    },
  );
  assert.deepEqual(granted, [1, 1, 3, 4]);
});

// Guards against a slack that is spent many times over as all entries start at once:
// none knows yet how many they are.
test('entries that start at the same time keep to the slack together', t => {
  mockClock(t);
  const granted = Array.from({length: 28}).map(() =>
    retriesFrom(sharesAmong(2)),
  );
  const repeats = granted.reduce((sum, each) => sum + each, 0);
  assert.ok(repeats <= DEPLOYMENT.slack, `${repeats} repeats`);
});
