import assert from 'node:assert/strict';
import {test} from 'node:test';
import {choosePeersToLetGo, type PeerView} from '../slow_peers.js';

const MB = 1_048_576;

/** A peer that was observed for long enough. */
function peer(id: string, fields: Partial<PeerView<string>>): PeerView<string> {
  const slow = {heldBytes: 4 * MB, movedBytes: 0, bytesPerS: 0};
  return {id, observedMs: 5_000, ...slow, ...fields};
}

// The pattern: a crowd that takes a byte a second of large responses, beside sound
// callers. Guards against a sound caller that is cut to make room.
test('a crowd of slow readers is let go, and no sound one', () => {
  const crowd = Array.from({length: 500}, (_, n) =>
    peer(`slow${n}`, {bytesPerS: 1, heldBytes: 100_000}),
  );
  const sound = [
    peer('large', {bytesPerS: 60_000, heldBytes: 8 * MB}),
    peer('new', {observedMs: 1_000, heldBytes: 8 * MB}),
  ];
  const chosen = choosePeersToLetGo([...sound, ...crowd], 10 * MB);
  assert.equal(chosen.length, Math.ceil((10 * MB) / 100_000));
  assert.ok(chosen.every(id => id.startsWith('slow')));
});

// Guards against more that is cut than is needed, and against the loss of what is
// nearly delivered.
test('the slowest goes first, of equally slow ones the one that loses least', () => {
  const peers = [
    peer('nearly whole', {movedBytes: 3 * MB}),
    peer('begun', {movedBytes: 10}),
    peer('slow', {bytesPerS: 2_000}),
  ];
  const chosenFor = (bytes: number) => choosePeersToLetGo(peers, bytes);
  assert.deepEqual(chosenFor(4 * MB), ['begun']);
  assert.deepEqual(chosenFor(5 * MB), ['begun', 'nearly whole']);
  assert.deepEqual(chosenFor(9 * MB), ['begun', 'nearly whole', 'slow']);
});

// Guards against cuts that do not help.
test('nobody is let go if that would not make enough room', () => {
  const peers = [peer('slow', {}), peer('sound', {bytesPerS: 50_000})];
  assert.deepEqual(choosePeersToLetGo(peers, 5 * MB), []);
});
