import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EventSplitter} from '../event_splitter.js';

// Guards against a partial event sent to the caller, which a resumed stream
// cannot undo, and against bytes lost at chunk boundaries.
test('emits complete events for any chunk boundaries', () => {
  const text = Array.from(
    {length: 12},
    (_, number) => `id: ${number}\ndata: piece ${number}\n\n`,
  ).join('');
  fc.assert(
    fc.property(
      fc.array(fc.integer({min: 1, max: text.length - 1}), {maxLength: 20}),
      cuts => {
        const borders = [0, ...[...cuts].sort((a, b) => a - b), text.length];
        const splitter = new EventSplitter();
        const batches = borders
          .slice(1)
          .map((end, position) =>
            splitter.push(Buffer.from(text.slice(borders[position], end))),
          )
          .filter(batch => batch !== undefined);
        const out = Buffer.concat(batches.map(batch => batch.bytes));
        assert.equal(out.toString(), text);
        assert.ok(
          batches.every(batch => batch.bytes.toString().endsWith('\n\n')),
        );
        assert.equal(batches.at(-1)?.lastId, 11);
      },
    ),
    {seed: 7},
  );
});

// Guards against a partial event that is relayed when its upstream fails.
test('an incomplete event is buffered', () => {
  const splitter = new EventSplitter();
  const batch = splitter.push(Buffer.from('id: 4\ndata: x\n\nid: 5\nda'));
  assert.deepEqual(
    [batch?.bytes.toString(), batch?.firstId, batch?.lastId],
    ['id: 4\ndata: x\n\n', 4, 4],
  );
  assert.equal(splitter.pendingBytes, 8);
});
