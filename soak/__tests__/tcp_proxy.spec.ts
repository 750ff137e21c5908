import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
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

// Guards against a cut of one process that also holds back the bytes of others.
test(
  'only the bytes of the host that is cut off are held back',
  {timeout: TIMEOUT_MS},
  async t => {
    const [targetAddress, proxyAddress] = [freshAddress(), freshAddress()];
    const [targetHost, targetPort] = targetAddress.split(':');
    const [host, port] = proxyAddress.split(':');
    const received: string[] = [];
    // The proxy resets all connections when it stops.
    const ignoreReset = (): void => undefined;
    const target = createServer(socket => {
      socket.on('error', ignoreReset);
      socket.on('data', chunk => {
        received.push(String(chunk));
        target.emit('received');
      });
    }).listen(Number(targetPort), targetHost);
    const proxy = new TcpProxy(proxyAddress, targetAddress);
    const connectFrom = (localAddress: string): Socket =>
      connect({host, port: Number(port), localAddress}).on(
        'error',
        ignoreReset,
      );
    await proxy.start();
    proxy.cut('127.0.0.2');
    const cut = connectFrom('127.0.0.2');
    const other = connectFrom('127.0.0.3');
    t.after(() => {
      proxy.stop();
      target.close();
    });
    cut.write('cut');
    await once(cut, 'connect');
    other.write('other');
    await once(target, 'received');
    const before = [...received];
    proxy.join('127.0.0.2');
    await once(target, 'received');
    assert.deepEqual(
      {before, received},
      {before: ['other'], received: ['other', 'cut']},
    );
  },
);
