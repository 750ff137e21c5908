import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {setMonotonicSource} from '../../clock/clock.js';
import {MetricsRegistry} from '../../metrics/registry.js';
import type {ServiceSpec} from '../../routes/route_table.js';
import {
  brief,
  chat,
  HOME,
  HOME_A,
  upstream,
} from '../../scheduling/__tests__/scheduling_fixture.js';
import {PromptEstimates} from '../../scheduling/prompt_estimates.js';
import type {Decision, WorkItem} from '../../scheduling/types.js';
import {UpstreamState} from '../../scheduling/upstream_state.js';
import {asId, type InstanceId, type ServiceId} from '../../types/ids.js';
import {SchedulerHost} from '../scheduler_host.js';

const ENGINES = 28;
/** A message may cost a few estimates per engine, however long the queue. */
const MAX_ESTIMATES = 5 * ENGINES;
const BACKLOG = 150;
const MESSAGES = 40;
const ENTRY = asId<InstanceId>('entry');
const SERVICE = asId<ServiceId>('service');
const LONG_DEADLINE = {targetLatencyMs: 60_000, remainingMs: 60_000};
const SPEC = {
  coldRequestsPerS: 0,
  engine: {kvCacheTokens: 243_790, tokensPerEvent: 9, fetchMsPerToken: 0},
} as unknown as ServiceSpec;
const SILENT = {info: () => undefined, error: () => undefined} as never;

interface Harness {
  readonly host: SchedulerHost;
  readonly decisions: Decision[];
}

// The clock and the timers are stopped, so that only messages cause work.
function createHarness(t: TestContext): Harness {
  const {restore} = setMonotonicSource(() => 1_000);
  t.mock.timers.enable({apis: ['setTimeout']});
  const decisions: Decision[] = [];
  const host = new SchedulerHost({
    region: HOME,
    retries: {ratio: 0.2, windowMs: 10_000, slack: 18},
    logger: SILENT,
    metrics: new MetricsRegistry(),
    serviceSpec: () => SPEC,
    deliver: decision => decisions.push(decision),
    onDown: () => undefined,
    onStarted: () => undefined,
  });
  t.after(() => {
    host.stop();
    restore();
  });
  host.ensureScheduler({service: SERVICE, domain: HOME_A});
  host.applyReading({
    readAtMs: 1_000,
    lagMs: 0,
    upstreams: Array.from({length: ENGINES}, (_, index) =>
      upstream(`engine-${index}`, {slots: 64}),
    ),
  });
  return {host, decisions};
}

/** Submits long uncached prompts until at least `BACKLOG` of them wait. */
async function fillQueue(host: SchedulerHost): Promise<void> {
  await host.submit(
    ENTRY,
    Array.from({length: BACKLOG + 2 * ENGINES}, (_, index) => ({
      kind: 'item' as const,
      domain: HOME_A,
      item: uncached(brief(`waiting-${index}`, LONG_DEADLINE)),
    })),
  );
}

function uncached(item: WorkItem): WorkItem {
  const {prompt, requestId} = item;
  if (prompt === undefined) return item;
  const parts = [{partId: `${requestId}-all`, tokens: prompt.promptTokens}];
  return {...item, prompt: {...prompt, parts}};
}

/** A chat with a one-token prompt, so that its engine stays open. */
function shortChat(name: string): WorkItem {
  const item = chat(name);
  const prompt = {
    promptTokens: 1,
    maxOutputTokens: 9,
    expectedOutputTokens: 9,
    parts: [{partId: `${name}-own`, tokens: 1}],
  };
  return {...item, prompt};
}

async function estimatesPerMessage(
  t: TestContext,
  host: SchedulerHost,
  create: (index: number) => WorkItem,
): Promise<number> {
  const spies = [
    t.mock.method(PromptEstimates.prototype, 'minPrefillMs'),
    t.mock.method(UpstreamState.prototype, 'prefillMs'),
  ];
  const messages = Array.from({length: MESSAGES}, (_, index) => create(index));
  await messages.reduce(
    (sent, item) =>
      sent.then(() =>
        host.submit(ENTRY, [{kind: 'item', domain: HOME_A, item}]),
      ),
    Promise.resolve(),
  );
  const estimates = spies.reduce((sum, {mock}) => sum + mock.callCount(), 0);
  spies.forEach(({mock}) => mock.restore());
  return estimates / MESSAGES;
}

// Guards against a scheduler that processes its whole queue for each message.
// At the start of a regional peak no prompts are cached, so requests wait; each
// message then cost so much that the scheduler fell behind and the queue grew.
test('the cost of a message does not depend on the queue length', async t => {
  const {host, decisions} = createHarness(t);
  await fillQueue(host);
  assert.ok(host.load().queueLength >= BACKLOG, 'the queue is too short');
  const chats = await estimatesPerMessage(t, host, index =>
    shortChat(`chat-${index}`),
  );
  const grantedChats = decisions.filter(each =>
    each.requestId.startsWith('chat'),
  );
  assert.equal(grantedChats.length, MESSAGES, 'some chats were not granted');
  const briefs = await estimatesPerMessage(t, host, index =>
    uncached(brief(`late-${index}`, LONG_DEADLINE)),
  );
  assert.ok(chats <= MAX_ESTIMATES, `${chats} estimates per chat`);
  assert.ok(briefs <= MAX_ESTIMATES, `${briefs} estimates per brief`);
});

// Guards against a mailbox that grows although its process has time left. An actor
// took one message in each turn of the event loop; under load a turn takes tens of
// milliseconds, and requests were refused because their scheduler did not answer.
test('all messages of one moment are handled in a turn or two', async t => {
  const {host} = createHarness(t);
  const handled = Promise.all(
    Array.from({length: MESSAGES}, (_, index) =>
      host.submit(ENTRY, [
        {kind: 'item', domain: HOME_A, item: shortChat(`chat-${index}`)},
      ]),
    ),
  );
  await nextTurn();
  await nextTurn();
  assert.equal(host.load().itemsTaken, MESSAGES);
  await handled;
});
