import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {InnerServer} from '../http_server.js';
import {RpcRouter} from '../rpc.js';

const UPGRADE =
  'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n';
const ATTEMPTS = 20;

/** Asks for an upgrade without credentials and resets the connection. */
function resetUpgrade(address: string): Promise<void> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    socket.on('error', () => undefined);
    socket.once('close', () => resolve());
    socket.write(UPGRADE + 'x'.repeat(100_000), () => {
      setTimeout(() => socket.resetAndDestroy(), 1);
    });
  });
}

// Guards against a refused connection of another instance whose reset ends the
// process: its error had no listener.
test('a refused upgrade that is reset does not end the process', async t => {
  const errors: string[] = [];
  const onError = (error: NodeJS.ErrnoException): number =>
    errors.push(error.code ?? error.message);
  process.on('uncaughtException', onError);
  t.after(() => process.off('uncaughtException', onError));
  const inner = new InnerServer({
    address: '127.0.0.1:0',
    clusterSecret: 'secret-of-the-specs',
    router: new RpcRouter(),
  });
  const address = await inner.start();
  t.after(() => inner.stop());
  await Promise.all(
    Array.from({length: ATTEMPTS}, () => resetUpgrade(address)),
  );
  await sleep(100);
  assert.deepEqual(errors, []);
});
