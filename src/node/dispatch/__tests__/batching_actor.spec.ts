import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {BatchingActor} from '../batching_actor.js';

interface Harness {
  readonly actor: BatchingActor<string>;
  readonly seen: string[];
}

function createActor(t: TestContext): Harness {
  const seen: string[] = [];
  const actor = new BatchingActor<string>({
    name: 'specs',
    handle: message => {
      if (message.startsWith('bad')) throw new Error(message);
      seen.push(message);
    },
    onBatch: messages => {
      seen.push(`batch of ${messages.length}`);
      if (messages.includes('broken batch')) throw new Error('broken batch');
    },
    onFailure: (message, thrown) =>
      seen.push(`${message} failed: ${(thrown as Error).message}`),
  });
  t.after(() => actor.stop());
  return {actor, seen};
}

// Guards against a fault in one message that loses those sent with it, and against
// messages that are handled out of order.
test('a message that fails does not hold up the others', async t => {
  const {actor, seen} = createActor(t);
  ['first', 'bad', 'second'].forEach(each => actor.send(each));
  assert.deepEqual(seen, []);
  await nextTurn();
  assert.deepEqual(seen, ['first', 'bad failed: bad', 'second', 'batch of 3']);
});

// Guards against an actor that takes no more messages after a fault.
test('messages are handled after a batch that failed', async t => {
  const {actor, seen} = createActor(t);
  actor.send('broken batch');
  await nextTurn();
  await nextTurn();
  actor.send('next');
  await nextTurn();
  await nextTurn();
  assert.deepEqual(seen, [
    'broken batch',
    'batch of 1',
    'undefined failed: broken batch',
    'next',
    'batch of 1',
  ]);
});
