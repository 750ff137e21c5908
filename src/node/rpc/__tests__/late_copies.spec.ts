import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {
  formatAnswer,
  startRepeatingServer,
} from '../../__tests__/support/late_copies.js';
import {pauseClockForIo, runWhile} from '../../__tests__/support/paused_io.js';
import {asId, type InstanceId} from '../../types/ids.js';
import {HttpRpcClient} from '../http_client.js';

function createClient(t: TestContext): HttpRpcClient {
  const self = asId<InstanceId>('centro-1');
  const client = new HttpRpcClient({self, clusterSecret: 'a secret'});
  t.after(() => client.close());
  return client;
}

/** The result of a call, or the code and `work` of its error. */
async function call(
  client: HttpRpcClient,
  address: string,
  text: string,
): Promise<string> {
  const result = await client.call<string>(address, 'echo', {text}, 500);
  return result.match(
    value => value,
    ({code, work}) => `${code} ${work}`,
  );
}

const HUNG_AFTER_MS = 2_000;

// Guards against a call that gets the result of another one, or never ends, so
// that a loop which waits for it stands still.
test('a copy of an older response ends the call with an unknown outcome', async t => {
  const {address} = await startRepeatingServer(t, {
    timing: 'with_next_request',
    answerTo: (_head, body) => {
      const {id, params} = JSON.parse(body) as {
        readonly id: number;
        readonly params: {readonly text: string};
      };
      const reply = {jsonrpc: '2.0', id, result: params.text};
      return formatAnswer(200, JSON.stringify(reply));
    },
  });
  pauseClockForIo(t);
  const client = createClient(t);
  const callOrHang = (text: string): Promise<string> =>
    Promise.race([
      call(client, address, text),
      new Promise<string>(resolve =>
        setTimeout(() => resolve('hung'), HUNG_AFTER_MS),
      ),
    ]);
  const results = runWhile(
    t,
    (async () => {
      const first = await callOrHang('first');
      await new Promise(resolve => setTimeout(resolve, 20));
      const second = await callOrHang('second');
      await new Promise(resolve => setTimeout(resolve, 20));
      return [first, second, await callOrHang('third')];
    })(),
  );
  assert.deepEqual(await results, ['first', 'unreachable unknown', 'third']);
});
