import assert from 'node:assert/strict';
import {test} from 'node:test';
import {advanceClock} from '../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {MemoryNetwork} from '../../__tests__/support/memory_network.js';
import {RpcRouter} from '../../rpc/rpc.js';
import {asNumber, type LogIndex, type Term} from '../../types/ids.js';
import {memberSchema} from '../core/messages.js';
import {startJoining} from '../joining.js';
import {memberIdOf} from '../peer_transport.js';
import type {ReplicatedLog} from '../replicated_log.js';

/** A member that belongs to no group yet. */
function emptyLog(memberId: ReturnType<typeof memberIdOf>) {
  return {
    status: () => ({
      memberId,
      role: 'learner',
      term: asNumber<Term>(0),
      commitIndex: asNumber<LogIndex>(0),
      appliedIndex: asNumber<LogIndex>(0),
      members: [],
    }),
  } as unknown as ReplicatedLog<never, unknown>;
}

// Guards against a contact that does not answer and keeps a member without a
// disk from asking the next one in time.
test('a silent contact does not delay the next one', async context => {
  pauseClock(context);
  const network = new MemoryNetwork({delayMs: 1});
  const asked: string[] = [];
  ['a', 'b'].forEach(name => {
    const router = new RpcRouter();
    router.register('test.join', memberSchema, () => {
      asked.push(name);
      return null;
    });
    network.attach(`${name}:1`, name, router);
  });
  const memberId = memberIdOf('c', '1');
  const client = network.attach('c:1', 'c', new RpcRouter());
  network.cutBoth('c:1', 'a:1');
  const stop = startJoining({
    log: emptyLog(memberId),
    client,
    methodPrefix: 'test',
    member: {memberId, address: 'c:1', weight: 1},
    contacts: () => ['a:1', 'b:1'],
  });
  await advanceClock(context, 3_000, 10);
  stop();
  assert.deepEqual(asked, ['b']);
});
