/** Large responses that arrive side by side, within a bound for all of them. */
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setMonotonicSource} from '../../clock/clock.js';
import {HeldBytes, type Holding} from '../held_bytes.js';

const MIB = 1_048_576;
const BOUND_BYTES = 10 * MIB;
const RESPONSE_BYTES = 4 * MIB;
const PIECE_BYTES = 65_536;
const PIECES = RESPONSE_BYTES / PIECE_BYTES;
const CROWD = 10;
const SHORT_BODY_BYTES = 2_000;
const STEP_MS = 100;

/** A caller of whom nothing is due: no response has begun. */
function open(held: HeldBytes): Holding {
  return held.open({unreadBytes: 0, takenBytes: 0, letGo: () => undefined});
}

/** Adds a piece to each response that has room; returns those that are whole. */
function growInTurn(holdings: readonly Holding[]): readonly Holding[] {
  holdings.forEach(each =>
    each.resize('response', each.partBytes + PIECE_BYTES),
  );
  return holdings.filter(each => each.partBytes >= RESPONSE_BYTES);
}

/** Responses whose callers read at once; returns how many become whole. */
function deliver(holdings: readonly Holding[], rounds: number): number {
  if (rounds === 0 || holdings.length === 0) return 0;
  const whole = growInTurn(holdings);
  whole.forEach(each => each.close());
  const left = holdings.filter(each => !whole.includes(each));
  return whole.length + deliver(left, rounds - 1);
}

// The pattern: more large responses at once than there is room for, which arrive
// piece by piece in turn. Guards against parts that fill the bound and wait for each
// other until their requests time out, although all callers would read.
test('responses that arrive side by side all become whole', () => {
  const held = new HeldBytes({maxBytes: BOUND_BYTES});
  const holdings = Array.from({length: CROWD}, () => open(held));
  assert.equal(deliver(holdings, CROWD * PIECES), CROWD);
});

// The pattern: a crowd whose large responses or bodies take all the room that they
// get. Guards against an ordinary request that is refused for want of room for a
// short body.
(['response', 'body'] as const).forEach(part =>
  test(`a short body has room beside a crowd with a large ${part}`, () => {
    const held = new HeldBytes({maxBytes: BOUND_BYTES});
    const crowd = Array.from({length: CROWD}, () => open(held));
    Array.from({length: PIECES}).forEach(() =>
      crowd.forEach(each => each.resize(part, each.partBytes + PIECE_BYTES)),
    );
    assert.ok(held.totalBytes > BOUND_BYTES / 2);
    const ordinary = open(held);
    assert.ok(ordinary.hasRoomFor(SHORT_BODY_BYTES));
    assert.ok(ordinary.resize('body', SHORT_BODY_BYTES));
    assert.ok(held.totalBytes <= BOUND_BYTES);
  }),
);

/** A reader that takes `bytesPerS` of what waits for it. */
function reader(bytesPerS: number) {
  const startedAtMs = Date.now();
  const letGo = {count: 0};
  const peer = {
    unreadBytes: PIECE_BYTES,
    get takenBytes(): number {
      return ((Date.now() - startedAtMs) * bytesPerS) / 1_000;
    },
    letGo: () => {
      letGo.count += 1;
    },
  };
  return {peer, letGo};
}

/** The runtime's paused clock does not stop at each timer on its way. */
function advance(t: TestContext, steps: number): void {
  Array.from({length: steps}).forEach(() => t.mock.timers.tick(STEP_MS));
}

function pauseClock(t: TestContext): void {
  t.mock.timers.enable({apis: ['setInterval', 'Date']});
  const {restore} = setMonotonicSource(Date.now);
  t.after(restore);
}

// The pattern: callers that read a byte a second of responses that were begun early.
// Guards against their upstreams, which stay busy and unread until the requests time
// out while sound callers wait for them.
test('of responses that keep an upstream, those of slow readers end', t => {
  pauseClock(t);
  const held = new HeldBytes({maxBytes: BOUND_BYTES});
  const slow = reader(1);
  const sound = reader(60_000);
  const behind = reader(1);
  held.open(slow.peer).keepsUpstream = true;
  held.open(sound.peer).keepsUpstream = true;
  // Its upstream has sent all.
  const sent = held.open(behind.peer);
  sent.keepsUpstream = true;
  sent.endResponse();
  advance(t, 29);
  assert.equal(slow.letGo.count, 0);
  advance(t, 10);
  assert.equal(slow.letGo.count, 1);
  assert.equal(sound.letGo.count, 0);
  assert.equal(behind.letGo.count, 0);
});
