import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {pauseClock} from '../../__tests__/support/clock.js';
import {monotonicNowMs} from '../../clock/clock.js';
import {RpcClient} from '../../rpc/rpc.js';
import {GatewayError} from '../../types/errors.js';
import {
  asId,
  type AttemptId,
  type Digest,
  type IdempotencyKey,
  type MemberId,
} from '../../types/ids.js';
import {RecordsClient} from '../records_client.js';
import {WORKSPACE} from './support/domain.js';
import {flushPromises} from './support/utils.js';

/** Records calls; answers with a function, or times out without an answer. */
class ScriptedRpc extends RpcClient {
  readonly calls: string[] = [];

  constructor(private readonly answer: (address: string) => unknown) {
    super();
  }

  override async close(): Promise<void> {}

  protected override async send(
    address: string,
    method: string,
    _params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    this.calls.push(`${method} ${address}`);
    const answer = this.answer(address);
    if (answer !== undefined) return answer;
    await new Promise(resolve => setTimeout(resolve, timeoutMs));
    throw new GatewayError({
      code: 'timeout',
      message: 'no answer',
      step: 'test',
      peer: address,
    });
  }
}

function attempt(index: number) {
  return {
    workspaceId: WORKSPACE,
    key: asId<IdempotencyKey>(`1-key-${10_000 + index}`),
    digest: asId<Digest>('0'.repeat(64)),
    attemptId: asId<AttemptId>(`attempt-${index}`),
    owner: asId<MemberId>('entry-a#1'),
    fresh: false,
  };
}

async function advance(t: TestContext, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    await flushPromises();
    t.mock.timers.tick(100);
  }
  await flushPromises();
}

// Guards against an unresponsive member that delays every call by the timeout.
test('the member that answered last is tried first', async t => {
  pauseClock(t);
  const rpc = new ScriptedRpc(address =>
    address === 'unresponsive' ? undefined : {kind: 'granted'},
  );
  const client = new RecordsClient({
    rpc,
    members: () => ['unresponsive', 'good'],
  });
  const first = client.begin(attempt(0), monotonicNowMs() + 10_000);
  await advance(t, 1_600);
  await first;
  await client.begin(attempt(1), monotonicNowMs() + 10_000);
  assert.deepEqual(rpc.calls, [
    'records.begin unresponsive',
    'records.begin good',
    'records.begin good',
  ]);
});

// Guards against retries that accumulate while the group is unreachable.
test('closing of abandoned attempts is limited in number and time', async t => {
  pauseClock(t);
  const rpc = new ScriptedRpc(() => undefined);
  const client = new RecordsClient({rpc, members: () => ['unresponsive']});
  const begins = Array.from({length: 1_200}, (_, index) =>
    client.begin(attempt(index), monotonicNowMs() + 1_000),
  );
  await advance(t, 1_100);
  const results = await Promise.all(begins);
  const refused = results.filter(
    result => result.isErr() && result.error.work === 'not_run',
  );
  assert.equal(refused.length, 1_200);
  assert.equal(client.pendingFinishCount(), 1_000);
  await advance(t, 31_000);
  assert.equal(client.pendingFinishCount(), 0);
});
