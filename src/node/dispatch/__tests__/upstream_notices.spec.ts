import assert from 'node:assert/strict';
import {test} from 'node:test';
import {advanceClock} from '../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {processIdOf} from '../../scheduling/upstream_process.js';
import {asId, type UpstreamId} from '../../types/ids.js';
import {UpstreamNotices} from '../upstream_notices.js';

const upstreamId = asId<UpstreamId>('u');
const FIRST = processIdOf({upstreamId, bornAtMs: 1});
const SECOND = processIdOf({upstreamId, bornAtMs: 2});

// Guards against an upstream that is left out for good because a process before
// it, under the same id, was about to stop.
test('what one process says does not bind the next one', t => {
  pauseClock(t);
  const notices = new UpstreamNotices();
  const isNew = [
    notices.note(FIRST, {retryAfterMs: 500, isLeaving: false}),
    notices.note(FIRST, {isLeaving: true}),
    notices.note(FIRST, {isLeaving: true}),
    notices.note(SECOND, {isLeaving: false}),
  ];
  assert.deepEqual(
    [isNew, notices.forbidden(), notices.forbids(SECOND)],
    [[true, true, false, false], [FIRST], false],
  );
});

// Guards against an upstream that stays left out after the time that it named.
test('a time to come back ends', async t => {
  pauseClock(t);
  const notices = new UpstreamNotices();
  notices.note(FIRST, {retryAfterMs: 500, isLeaving: false});
  const before = notices.forbids(FIRST);
  await advanceClock(t, 500, 100);
  assert.deepEqual(
    [before, notices.forbids(FIRST), notices.forbidden()],
    [true, false, []],
  );
});
