import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import type {WorkItem} from '../../scheduling/types.js';
import {NOT_RUN_HEADER} from '../inner_headers.js';
import {
  grant,
  offload,
  REJECTED,
  refuse,
  runStream,
  type RunSetup,
} from './support/memory_run.js';

const RUN_MS = 1_000;
const REJECTING = {upstream: [{atMs: 20, text: REJECTED}]};

/** Whether the next try counts as a repeat after another entry refused one. */
async function isRepeatAfter(
  t: TestContext,
  notRun: string,
): Promise<boolean | undefined> {
  let isRepeat: boolean | undefined;
  await runStream(t, {
    upstreams: {},
    decisions: [
      offload,
      (item: WorkItem) => {
        isRepeat = item.isRepeat;
        return refuse('overloaded')(item);
      },
    ],
    peerRefusal: {[NOT_RUN_HEADER]: notRun},
    runMs: RUN_MS,
  });
  return isRepeat;
}

/** What the entry that relayed a request is told of a refusal. */
async function toldAfter(
  t: TestContext,
  setup: Pick<RunSetup, 'upstreams' | 'decisions'>,
): Promise<readonly string[]> {
  const lines = await runStream(t, {...setup, isRelayed: true, runMs: RUN_MS});
  return lines.filter(line => line.includes(NOT_RUN_HEADER));
}

// Guards against retries that no budget counts: a request that an upstream of another
// region has turned away comes back and is taken for one that no upstream had.
test('a try after a rejection in another region is a repeat', async t => {
  assert.deepEqual(
    {
      rejected: await isRepeatAfter(t, 'rejected'),
      formerVersion: await isRepeatAfter(t, '1'),
      unsent: await isRepeatAfter(t, 'unsent'),
    },
    {rejected: true, formerVersion: true, unsent: false},
  );
});

// Guards against an entry that does not tell the one that relayed the request whether
// an upstream had it.
test('a relayed request is refused as rejected or unsent', async t => {
  const rejected = await toldAfter(t, {
    upstreams: REJECTING,
    decisions: [grant('upstream'), refuse('overloaded')],
  });
  const unsent = await toldAfter(t, {
    upstreams: {},
    decisions: [refuse('overloaded')],
  });
  assert.deepEqual(
    [...rejected, ...unsent].map(line => line.split(': ')[1]),
    ['rejected', 'unsent'],
  );
});
