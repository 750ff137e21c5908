import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  brief,
  chat,
  HOME_A,
  HOME_B,
  upstream,
} from '../../scheduling/__tests__/scheduling_fixture.js';
import type {SchedulerAnswer, WorkItem} from '../../scheduling/types.js';
import type {DomainId} from '../../types/ids.js';
import {
  MemoryRegion,
  type MemoryRegionOptions,
  type RegionEntry,
} from './support/memory_region.js';

const DOMAINS = [HOME_A, HOME_B];
const ENTRIES_IN_DOMAIN = 14;
const ENGINES_IN_DOMAIN = 14;
const REQUESTS = 560;
/** An equal share for each of two domains, plus a margin for uneven prompts. */
const LARGEST_SHARE = 0.6;
const NEVER = new AbortController().signal;

function enginesOf(domain: DomainId) {
  return Array.from({length: ENGINES_IN_DOMAIN}, (_, index) =>
    upstream(`${domain}-engine-${index}`, {domain, slots: 32}),
  );
}

function createRegion(
  t: TestContext,
  options: Partial<MemoryRegionOptions> = {},
): MemoryRegion {
  const region = new MemoryRegion({
    domains: DOMAINS,
    entriesInDomain: ENTRIES_IN_DOMAIN,
    upstreams: DOMAINS.flatMap(enginesOf),
    ...options,
  });
  t.after(() => region.stop());
  return region;
}

/** A brief about one of many manuals. */
function briefOn(name: string, manual: string): WorkItem {
  const item = brief(name);
  const {prompt} = item;
  if (prompt === undefined) return item;
  const parts = [
    {partId: 'rules', tokens: 2_520},
    {partId: manual, tokens: 3_780},
    {partId: `${name}-own`, tokens: 2_700},
  ];
  return {...item, prompt: {...prompt, parts}};
}

function ask(entry: RegionEntry, item: WorkItem): Promise<SchedulerAnswer> {
  const {instanceId} = entry.instance;
  return entry.client.acquire({...item, entry: instanceId}, NEVER);
}

function domainOf(answer: SchedulerAnswer): string {
  return answer.kind === 'grant' ? answer.domain : answer.kind;
}

// Guards against one entry that schedules all requests of a service in a large
// region: with 28 engines and 350 requests per second it ran out of CPU time,
// and callers of the whole region got late answers and 503.
test('no entry schedules more than the requests of one domain', async t => {
  const region = createRegion(t);
  await Promise.all(
    Array.from({length: REQUESTS}, (_, index) => {
      const entry = region.entries[index % region.entries.length];
      const item =
        index % 10 < 3
          ? briefOn(`b${index}`, `manual-${index}`)
          : chat(`c${index}`);
      return entry === undefined ? undefined : ask(entry, item);
    }),
  );
  const taken = region.entries.map(({host}) => host.load().itemsTaken);
  const all = taken.reduce((sum, each) => sum + each, 0);
  assert.ok(all >= REQUESTS);
  assert.ok(
    Math.max(...taken) <= all * LARGEST_SHARE,
    `${Math.max(...taken)} of ${all} at one entry`,
  );
});

// Guards against prefill of the same long prefix in every domain.
test('prompts with a long common prefix go to one domain', async t => {
  const region = createRegion(t);
  const answers = await Promise.all(
    region.entries.map((entry, index) =>
      ask(entry, briefOn(`b${index}`, 'one-manual')),
    ),
  );
  assert.equal(new Set(answers.map(domainOf)).size, 1);
});

// Guards against needless traffic between domains.
test('a chat stays in the domain of its entry', async t => {
  const region = createRegion(t);
  const answers = await Promise.all(
    region.entries.map((entry, index) => ask(entry, chat(`c${index}`))),
  );
  assert.deepEqual(
    answers.map(domainOf),
    region.entries.map(({instance}) => instance.domain),
  );
});

// Guards against refusals in a domain that has lost its upstreams or is
// evacuated while the other domain of the region has capacity.
test('a domain without upstreams is served by the other one', async t => {
  const lost = createRegion(t, {upstreams: enginesOf(HOME_B)});
  const evacuated = createRegion(t, {evacuated: [HOME_A]});
  const served = await Promise.all(
    [lost, evacuated].map(async region => {
      const {service} = chat('x');
      region.entries.forEach(({host}) =>
        DOMAINS.forEach(domain => host.ensureScheduler({service, domain})),
      );
      region.shareDigests();
      const [entry] = region.entries;
      return entry === undefined ? undefined : ask(entry, chat('c'));
    }),
  );
  assert.deepEqual(
    served.map(each => each && [domainOf(each), each.passes]),
    [
      [HOME_B, 1],
      [HOME_B, 0],
    ],
  );
});

// Guards against requests in an evacuated domain: a scheduler that is cut off from
// the control members grants its upstreams, or passes requests on to it.
test('a scheduler obeys evacuations that only the entry knows', async t => {
  const only = createRegion(t, {domains: [HOME_A], entriesInDomain: 2});
  const lost = createRegion(t, {upstreams: enginesOf(HOME_A)});
  const asked = await Promise.all(
    [only, lost].map(async region => {
      const {service} = chat('x');
      region.entries.forEach(({host, instance: {domain}}) =>
        host.ensureScheduler({service, domain}),
      );
      region.shareDigests();
      const entry = region.entries.at(-1);
      const item = {...chat('c'), evacuatedDomains: [HOME_A]};
      return entry === undefined ? undefined : ask(entry, item);
    }),
  );
  assert.deepEqual(
    asked.map(each => each && domainOf(each)),
    ['refuse', 'refuse'],
  );
});

// Guards against requests that wait for the schedulers of an unreachable domain
// instead of being decided in the domain of their entry.
test('an unreachable domain does not block requests of the other', async t => {
  const region = createRegion(t, {entriesInDomain: 2});
  const [entry] = region.entries;
  assert.ok(entry !== undefined);
  region.entries
    .filter(({instance}) => instance.domain === HOME_B)
    .forEach(({instance}) => region.network.detach(instance.innerAddress));
  const answers = await Promise.all(
    Array.from({length: 8}, (_, index) =>
      ask(entry, briefOn(`b${index}`, `manual-${index}`)),
    ),
  );
  assert.deepEqual([...new Set(answers.map(domainOf))], [HOME_A]);
});

// Guards against moving the scheduling, and losing the scheduler's state of its
// engines, because one connection to it stopped responding.
test('an unresponsive connection does not move the scheduling', async t => {
  const region = createRegion(t, {domains: [HOME_A], entriesInDomain: 3});
  const first = await Promise.all(
    region.entries.map(entry => ask(entry, chat(entry.instance.instanceId))),
  );
  const scheduler = first[0]?.scheduler;
  const asking = region.entries.find(
    ({instance}) => instance.instanceId !== scheduler,
  );
  assert.ok(asking !== undefined);
  region.network.silenceConnections(
    asking.instance.innerAddress,
    `${scheduler}:1`,
  );
  const answer = await ask(asking, chat('late', {targetLatencyMs: 5_000}));
  assert.deepEqual([answer.kind, answer.scheduler], ['grant', scheduler]);
});
