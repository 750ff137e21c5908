import assert from 'node:assert/strict';
import {test} from 'node:test';
import {UpstreamNotices} from '../../dispatch/upstream_notices.js';
import type {SchedulerAnswer, WorkItem} from '../../scheduling/types.js';
import {
  asId,
  type DomainId,
  type RegionId,
  type RequestId,
  type UpstreamId,
  type UpstreamProcessId,
} from '../../types/ids.js';
import {GrantSource, type GrantSourceOptions} from '../grant_source.js';
import type {Grant} from '../upstream_try.js';

const LIMIT_PER_S = 2;
const LEAVING = asId<UpstreamProcessId>('a@1');
const REFUSED = {kind: 'refuse', reason: 'overloaded'};
const item = {
  requestId: asId<RequestId>('r'),
  otherRegions: [] as readonly RegionId[],
} as WorkItem;
const CLOSED = asId<DomainId>('closed');
const OTHER_REGION = asId<RegionId>('far');

function grantOf(fields: Partial<Grant>): Partial<Grant> {
  return {
    kind: 'grant',
    upstreamId: asId<UpstreamId>('a'),
    processId: LEAVING,
    isLimitKnown: true,
    ...fields,
  };
}

/** A share of which so many retries are left, each time that it is asked. */
function sharesOf(
  retriesLeft: number,
  said: string[],
): GrantSourceOptions['retryShares'] {
  let left = retriesLeft;
  return {
    allowsRetry: () => {
      left -= 1;
      return left >= 0;
    },
    noteRequest: () => void said.push('counted: request'),
    noteRetry: () => void said.push('counted: retry'),
    noteRefusal: () => void said.push('counted: refusal'),
  };
}

/** What is said to the scheduler while it gives these answers in turn. */
async function acquire(
  answers: readonly object[],
  heldPerS?: number,
  notices = new UpstreamNotices(),
  {
    asked = item,
    retriesLeft = 0,
    evacuated = [],
  }: {
    asked?: WorkItem;
    retriesLeft?: number;
    evacuated?: readonly DomainId[];
  } = {},
): Promise<readonly string[]> {
  const left = [...answers];
  const said: string[] = [];
  const scheduler: GrantSourceOptions['scheduler'] = {
    acquire: () => {
      said.push('acquire');
      return Promise.resolve(left.shift() as SchedulerAnswer);
    },
    release: ({outcome}) => void said.push(`release: ${outcome}`),
    reportLimits: (_grant, {maxRequestsPerS, isComplete}) =>
      void said.push(`limit ${maxRequestsPerS}, complete: ${isComplete}`),
  };
  const limits = {maxRequestsPerS: () => heldPerS};
  const source = new GrantSource({
    scheduler,
    limits,
    notices,
    retryShares: sharesOf(retriesLeft, said),
    evacuatedDomains: () => evacuated,
  });
  const answer = await source.acquire(() => asked, AbortSignal.timeout(1_000));
  return [...said, answer.kind];
}

// Guards against a scheduler that sends an upstream as many requests as if it had
// no limit, although the entry that asks it was told the limit.
test('a grant by a scheduler that was not told the limit is returned', async () => {
  const granted = grantOf({maxRequestsPerS: LIMIT_PER_S});
  const unaware = grantOf({isLimitKnown: false});
  assert.deepEqual(
    {
      unaware: await acquire([unaware, granted], LIMIT_PER_S),
      nothingToTell: await acquire([unaware]),
      aware: await acquire([granted], LIMIT_PER_S),
      ended: await acquire([grantOf({})], LIMIT_PER_S),
      refused: await acquire([unaware, REFUSED], LIMIT_PER_S),
    },
    {
      unaware: [
        'acquire',
        `limit ${LIMIT_PER_S}, complete: false`,
        'release: cancelled',
        'acquire',
        'counted: request',
        'grant',
      ],
      nothingToTell: ['acquire', 'counted: request', 'grant'],
      aware: ['acquire', 'counted: request', 'grant'],
      ended: ['acquire', 'counted: request', 'grant'],
      refused: [
        'acquire',
        `limit ${LIMIT_PER_S}, complete: false`,
        'release: cancelled',
        'acquire',
        'refuse',
      ],
    },
  );
});

// Guards against grants that are returned for ever: a scheduler of the software version
// before does not say whether it was told.
test('a grant that names the limit is used, whatever else it says', async () => {
  const granted = grantOf({maxRequestsPerS: LIMIT_PER_S});
  const {isLimitKnown, ...former} = granted;
  assert.deepEqual(
    [isLimitKnown, await acquire([former], LIMIT_PER_S)],
    [true, ['acquire', 'counted: request', 'grant']],
  );
});

// Guards against a request that is sent to an upstream which has asked to be left
// alone since the scheduler was asked.
test('a grant for an upstream that wants no requests is returned', async () => {
  const notices = new UpstreamNotices();
  notices.note(LEAVING, {isLeaving: true});
  const other = grantOf({processId: asId<UpstreamProcessId>('b@1')});
  assert.deepEqual(await acquire([grantOf({}), other], undefined, notices), [
    'acquire',
    'release: cancelled',
    'acquire',
    'counted: request',
    'grant',
  ]);
});

// Guards against repeats that an entry sends beyond its share because some scheduler
// grants them: one that has just taken over knows of no repeat before.
test('a retry beyond the share of the entry is refused', async () => {
  const retry = (retriesLeft: number): Promise<readonly string[]> =>
    acquire([grantOf({})], undefined, new UpstreamNotices(), {
      asked: {...item, isRepeat: true},
      retriesLeft,
    });
  assert.deepEqual(
    {
      spent: await retry(0),
      spentMeanwhile: await retry(1),
      left: await retry(2),
    },
    {
      spent: ['counted: refusal', 'refuse'],
      spentMeanwhile: [
        'acquire',
        'release: cancelled',
        'counted: refusal',
        'refuse',
      ],
      left: ['acquire', 'counted: retry', 'grant'],
    },
  );
});

// Guards against requests that reach an evacuated domain because its scheduler has
// not been told, and against grants that are returned for ever.
test('a grant in a domain that is evacuated is returned', async () => {
  const closed = grantOf({domain: CLOSED});
  const open = grantOf({domain: asId<DomainId>('open')});
  const ask = (
    answers: readonly object[],
    otherRegions: readonly RegionId[] = [],
  ): Promise<readonly string[]> =>
    acquire(answers, undefined, undefined, {
      asked: {...item, otherRegions},
      evacuated: [CLOSED],
    });
  const returned = ['acquire', 'release: cancelled'];
  assert.deepEqual(
    {
      told: await ask([open]),
      untold: await ask([closed, open]),
      former: await ask([closed, closed, closed, closed]),
      formerWithRegion: await ask([closed, closed, closed], [OTHER_REGION]),
    },
    {
      told: ['acquire', 'counted: request', 'grant'],
      untold: [...returned, 'acquire', 'counted: request', 'grant'],
      former: [...returned, ...returned, ...returned, 'refuse'],
      formerWithRegion: [...returned, ...returned, ...returned, 'offload'],
    },
  );
});
