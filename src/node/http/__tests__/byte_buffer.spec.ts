import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ByteBuffer} from '../byte_buffer.js';

// Guards against bytes that are lost or overwritten as the block grows.
test('returns the pieces in order', () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({maxLength: 2_000}), {maxLength: 200}),
      pieces => {
        const buffer = new ByteBuffer({maxBytes: 10_000_000});
        pieces.forEach(piece => assert.ok(buffer.append(piece)));
        const whole = Buffer.concat(pieces);
        assert.deepEqual(buffer.tail(4), whole.subarray(-4));
        assert.deepEqual(buffer.take(), whole);
        assert.equal(buffer.length, 0);
      },
    ),
    {seed: 7},
  );
});

// Guards against a limit on bytes alone, which short pieces reach late.
test('pieces count against the limit', () => {
  const piece = Buffer.from('x');
  const bufferOf = (bytesPerPiece: number): ByteBuffer =>
    new ByteBuffer({maxBytes: 1_000, bytesPerPiece});
  const accepted = [0, 9, 99].map(bytesPerPiece => {
    const buffer = bufferOf(bytesPerPiece);
    return Array.from({length: 2_000}, () => buffer.append(piece)).indexOf(
      false,
    );
  });
  assert.deepEqual(accepted, [1_000, 100, 10]);
});

// Guards against a large body in small pieces that takes a multiple of its bytes.
test('memory exceeds the bytes of a large body by a quarter at most', () => {
  const maxBytes = 4_194_304;
  const grown = new ByteBuffer({maxBytes});
  const expected = new ByteBuffer({maxBytes});
  expected.expect(3_000_000);
  const piece = Buffer.alloc(1_000);
  for (let sent = 0; sent < 3_000; sent++) {
    [grown, expected].forEach(each => assert.ok(each.append(piece)));
    const {length, capacityBytes} = grown;
    const isSmall = length < 262_144;
    assert.ok(isSmall || capacityBytes <= 1.25 * length + piece.length);
  }
  assert.equal(expected.capacityBytes, 3_000_000);
});

// The pattern: a crowd that sends large bodies in pieces. Guards against blocks that
// are copied as they grow: what was copied takes a multiple of the bytes until the
// runtime frees it, and leaves gaps in the memory of the process.
test('a large body that grows allocates about twice its bytes', t => {
  const {mock} = t.mock.method(Buffer, 'allocUnsafe');
  const buffer = new ByteBuffer({maxBytes: 4_194_304});
  const piece = Buffer.alloc(16_384);
  for (let sent = 0; sent < 250; sent++) assert.ok(buffer.append(piece));
  const {length} = buffer.take();
  const allocatedBytes = mock.calls.reduce(
    (sum, {arguments: [bytes]}) => sum + bytes,
    0,
  );
  assert.equal(length, 250 * piece.length);
  assert.ok(allocatedBytes <= 2.25 * length, `${allocatedBytes} bytes`);
});
