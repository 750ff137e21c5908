/** Processor time and bytes of one authenticated JSON-RPC call over HTTP. */
import {subscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import {HttpRpcClient} from '../rpc/http_client.js';
import {asId} from '../types/ids.js';
import {CLUSTER_SECRET} from './deployment.js';
import {MeasuredProcess, sleep, spentDuring} from './processes.js';
import {inTurn, lineThrough} from './slope.js';

const ADDRESS = '127.0.0.1:22990';
const CALLS = 3_000;
const WARM_UP_CALLS = 1_000;
/** Calls before the first size, until the code is compiled. */
const FIRST_CALLS = 6_000;
/** Characters of the parameters, which come back as the result. */
const SIZES = [100, 4_000, 40_000];
const TIMEOUT_MS = 5_000;
const START_MS = 1_500;

function countBytes(): () => number {
  const sockets: Socket[] = [];
  subscribe('undici:client:connected', message => {
    sockets.push((message as {socket: Socket}).socket);
  });
  return () =>
    sockets.reduce((sum, each) => sum + each.bytesRead + each.bytesWritten, 0);
}

/** Lines over the characters carried each way. */
export async function measureRpc() {
  const server = new MeasuredProcess('rpc', ADDRESS);
  await sleep(START_MS);
  const bytes = countBytes();
  const client = new HttpRpcClient({
    self: asId('measurement'),
    clusterSecret: CLUSTER_SECRET,
  });
  const callAll = async (count: number, text: string): Promise<void> => {
    for (let call = 0; call < count; call++) {
      const result = await client.call(ADDRESS, 'echo', [text], TIMEOUT_MS);
      if (result.isErr()) throw result.error;
    }
  };
  await callAll(FIRST_CALLS, 'x');
  const points = await inTurn(SIZES, async size => {
    const text = 'x'.repeat(size);
    await callAll(WARM_UP_CALLS, text);
    const bytesBefore = bytes();
    const clientBefore = process.cpuUsage();
    const [spent] = await spentDuring([server], () => callAll(CALLS, text));
    const used = process.cpuUsage(clientBefore);
    return {
      size,
      callerMicros: (used.user + used.system) / CALLS,
      calleeMicros: (spent?.cpuMicros ?? 0) / CALLS,
      bytes: (bytes() - bytesBefore) / CALLS,
    };
  });
  await client.close();
  await server.stop();
  const line = (key: 'callerMicros' | 'calleeMicros' | 'bytes') =>
    lineThrough(points.map(point => ({size: point.size, value: point[key]})));
  return {
    unit: 'per character carried each way',
    callerMicros: line('callerMicros'),
    calleeMicros: line('calleeMicros'),
    bytes: line('bytes'),
  };
}
