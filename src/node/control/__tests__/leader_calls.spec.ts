import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setMonotonicSource} from '../../clock/clock.js';
import {RpcClient} from '../../rpc/rpc.js';
import {LeaderCalls} from '../leader_calls.js';
import {FakeGroup} from './fake_log.js';

class RecordingClient extends RpcClient {
  readonly timeoutsMs: number[] = [];
  override close(): Promise<void> {
    return Promise.resolve();
  }
  protected override send(
    _address: string,
    _method: string,
    _params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    this.timeoutsMs.push(timeoutMs);
    return Promise.resolve('answer of the leader');
  }
}

// Guards against a fractional timeout: the monotonic clock has fractions of a
// millisecond, timers reject them, and so every forwarded change failed.
test('the timeout of a forwarded call is an integer', async t => {
  let nowMs = 100;
  const source = setMonotonicSource(() => (nowMs += 0.3));
  t.after(() => source.restore());
  const group = new FakeGroup();
  group.add('leader', '127.0.0.1:7001');
  const log = group.add('follower', '127.0.0.1:7002');
  const client = new RecordingClient();
  const calls = new LeaderCalls(log, client, '127.0.0.1:7002');
  const answer = await calls.run('config.accept', {forwarded: false}, () =>
    Promise.reject(new Error('ran on a follower')),
  );
  assert.equal(answer, 'answer of the leader');
  assert.ok(client.timeoutsMs.every(Number.isInteger));
  assert.equal(client.timeoutsMs.length, 1);
});
