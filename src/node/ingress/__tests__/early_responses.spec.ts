/** Plain responses for which an entry has no room, and callers that do not read. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  BROKEN,
  event,
  grant,
  runStream,
  type Piece,
} from './support/memory_run.js';

/** Nothing has room beside what is held for others. */
const NO_ROOM_BYTES = 0;

/** Runs a request that two upstreams may run; the first sends `pieces`. */
function runPlain(
  t: TestContext,
  pieces: readonly Piece[],
  maxHeldBytes: number | undefined,
): Promise<readonly string[]> {
  return runStream(t, {
    upstreams: {a: pieces, b: [event(20, 0)]},
    decisions: [grant('a'), grant('b')],
    route: {kind: 'idempotent', isResumable: false, targetGapMs: 0},
    runMs: 7_000,
    ...(maxHeldBytes === undefined ? {} : {maxHeldBytes}),
  });
}

const withoutTimes = (lines: readonly string[]): readonly string[] =>
  lines.map(line => line.slice(line.indexOf(' ') + 1));

// The pattern: a crowd that reads a byte a second has taken the room for responses.
// Guards against a sound caller that waits until its members were let go.
test('a response without room is passed on as it arrives', async t => {
  const pieces = [event(20, 0), event(40, 1), event(60, 2)];
  const lines = await runPlain(t, pieces, NO_ROOM_BYTES);
  assert.deepEqual(lines, [
    '20 sent to a',
    '40 caller gets 0',
    '60 caller gets 1',
    '80 caller gets 2',
    '80 caller has the whole response',
    '80 released a: answered',
  ]);
});

// Guards against a second response after a part of the first one, and against a cut
// one that looks complete.
test('a response that was begun early and breaks off is cut', async t => {
  const pieces = [event(20, 0), {atMs: 40, text: BROKEN}];
  const lines = withoutTimes(await runPlain(t, pieces, NO_ROOM_BYTES));
  assert.deepEqual(lines, [
    'sent to a',
    'caller gets 0',
    'released a: broken',
    'connection of the caller closed',
  ]);
});

// Guards against early responses while there is room: their callers would lose the
// other tries.
test('a response that has room and breaks off is tried again', async t => {
  const pieces = [event(20, 0), {atMs: 40, text: BROKEN}];
  const lines = withoutTimes(await runPlain(t, pieces, 1_048_576));
  assert.deepEqual(lines, [
    'sent to a',
    'released a: broken',
    'sent to b',
    'caller has the whole response',
    'released b: answered',
  ]);
});

// The pattern: callers that read a byte a second of streams. Guards against their
// upstreams, which wait for them and are taken for stalled, so that others run the
// same requests again.
test('a stream whose caller does not read stays with its upstream', async t => {
  const lines = await runStream(t, {
    upstreams: {a: [event(20, 0), event(5_000, 1)], b: [event(20, 1)]},
    decisions: [grant('a'), grant('b')],
    isRead: false,
    runMs: 7_000,
  });
  assert.ok(!withoutTimes(lines).includes('sent to b'));
});
