import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {test} from 'node:test';
import {freshAddress} from '../../platform/standin/loopback.js';
import {TcpProxy} from '../tcp_proxy.js';

const TIMEOUT_MS = 5_000;

// Guards against orders that a proxy forgets when their operator closes: they have
// to arrive late, together with the end of the connection.
test(
  'what was held back arrives after its sender has closed',
  {timeout: TIMEOUT_MS},
  async t => {
    const [targetAddress, proxyAddress] = [freshAddress(), freshAddress()];
    const [targetHost, targetPort] = targetAddress.split(':');
    const [proxyHost, proxyPort] = proxyAddress.split(':');
    const received: string[] = [];
    const target = createServer(socket => {
      socket.on('data', chunk => received.push(String(chunk)));
      socket.on('end', () => received.push('end'));
      socket.on('close', () => target.emit('idle'));
    }).listen(Number(targetPort), targetHost);
    const proxy = new TcpProxy(proxyAddress, targetAddress);
    t.after(() => {
      proxy.stop();
      target.close();
    });
    await proxy.start();
    proxy.impair('cut_inbound');
    const client = connect(Number(proxyPort), proxyHost);
    client.end('order');
    await once(client, 'close');
    const before = [...received];
    proxy.impair('open');
    await once(target, 'idle');
    assert.deepEqual(
      {before, received},
      {before: [], received: ['order', 'end']},
    );
  },
);
