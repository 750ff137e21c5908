import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ByteBuffer} from '../byte_buffer.js';

// Guards against bytes that are lost or overwritten as the block grows.
test('returns the pieces in order', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({maxLength: 2_000})), pieces => {
      const buffer = new ByteBuffer({maxBytes: 10_000_000});
      pieces.forEach(piece => assert.ok(buffer.append(piece)));
      assert.deepEqual(buffer.take(), Buffer.concat(pieces));
      assert.equal(buffer.length, 0);
    }),
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
