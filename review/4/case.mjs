/**
 * Streams without a length or chunks, through an entry that is stopped.
 */
import net from 'node:net';
import {dirname} from 'node:path';
import {clearInterval, setInterval} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {
  configuration,
  Deployment,
  hasTrouble,
  List,
  newAttemptId,
  order,
  runCase,
  sleep,
  Worker,
} from '../lib/deployment.mjs';

const HOST = 'ficu95.example';
const SERVICE = 'huvo11a';
const ZONE = 'kozep-a';
const ZONES = {[ZONE]: 'kozep'};
const EVENTS = 42;
const PAUSE_MS = Number(process.env.PAUSE ?? 220);
const STREAMS = 8;
const MODE = process.env.MODE ?? 'SIGTERM';

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (record, after) => {
    const system = await Deployment.create(record, {zones: ZONES});
    after(() => system.stop());
    const controls = [1, 2, 3].map(n =>
      system.add('control', `control-${n}`, n, ZONE),
    );
    const entries = [11, 12].map(n =>
      system.add('entry', `entry-${n}`, n, ZONE),
    );
    const controlAddresses = controls.map(each =>
      system.controlAddress(each.name),
    );
    system.seeds = controlAddresses;
    const workers = [101, 102, 103].map(
      n =>
        new Worker(record, {
          id: `i-${n}`,
          service: SERVICE,
          zone: ZONE,
          address: `${system.host(n)}:${system.ports.worker}`,
          slots: 16,
          answer: streamWithoutLength,
        }),
    );
    const list = new List(system.listAddress, workers);
    after(() => [...workers, list].forEach(each => each.stop()));
    await Promise.all([...workers, list].map(each => each.started));
    [...controls, ...entries].forEach(each => system.start(each.name));
    const route = {
      name: 'r-1',
      host: HOST,
      pathPrefix: '/pufi791/',
      kind: 'streaming',
      timeoutMs: 10_000,
      targetLatencyMs: 500,
      priority: 0,
      service: SERVICE,
      attempts: 2,
      sticky: true,
      resumable: true,
      targetGapMs: 300,
      homeRegions: [],
    };
    const service = {
      name: SERVICE,
      healthCheckPath: '/health',
      connectionLimit: 100,
      protocol: 'h1',
      tls: false,
      coldStartS: 0,
      coldPerS: 0,
    };
    const text = configuration(7, [route], [service]);
    if (
      !(await order(
        record,
        controlAddresses,
        '/Configuration.Replace',
        text,
        20_000,
      ))
    )
      throw new Error('the configuration was not accepted');
    await system.untilReady(
      entries.map(each => each.name),
      15_000,
    );
    await sleep(3_000);
    const streams = Array.from({length: STREAMS}, () =>
      readStream(record, system.frontAddress('entry-11')),
    );
    await sleep(500);
    if (hasTrouble) await system.end('entry-11', MODE);
    const results = await Promise.all(streams);
    const cut = results.filter(
      each => each.looksComplete && each.events < EVENTS,
    );
    record.note(
      `streams that ended as complete before their last event: ${cut.length}`,
    );
    record.note(
      `whole streams: ${results.filter(each => each.events === EVENTS).length}`,
    );
    return cut.length > 0;
  },
);

/** Neither a length nor chunks: the answer ends with its channel. */
function streamWithoutLength(_request, response) {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.removeHeader('transfer-encoding');
  response.writeHead(200, {'Content-Type': 'text/event-stream'});
  let id = 0;
  const timer = setInterval(() => {
    response.write(`id: ${id}\ndata: piece ${id}\n\n`);
    id += 1;
    if (id < EVENTS) return;
    clearInterval(timer);
    response.end();
  }, PAUSE_MS);
  response.once('close', () => clearInterval(timer));
}

function readStream(record, address) {
  const [host, port] = address.split(':');
  const attempt = newAttemptId();
  return new Promise(resolve => {
    const socket = net.connect(Number(port), host);
    let text = '';
    let error;
    record.note(`client: ${attempt} sent to ${address}`);
    socket.write(
      `POST /pufi791/2f HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${attempt}\r\nDeadline-Milliseconds: 10000\r\nContent-Length: 2\r\n\r\n{}`,
    );
    let hasEnded = false;
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('end', () => (hasEnded = true));
    socket.on('error', cause => (error = cause.code));
    socket.on('close', () => {
      const at = text.indexOf('\r\n\r\n');
      const head = text.slice(0, at);
      const body = text.slice(at + 4);
      const events = body.split('\n\n').length - 1;
      const isChunked = /transfer-encoding: chunked/i.test(head);
      const isFramed = isChunked || /content-length/i.test(head);
      const looksComplete =
        hasEnded && error === undefined && !isFramed && body.endsWith('\n\n');
      record.note(
        `client: ${attempt} ${head.split('\r\n')[0]}; framed: ${isFramed}; ${events} of ${EVENTS} events; ended by ${error ?? (hasEnded ? 'a regular close' : 'close')}; looks complete: ${looksComplete}`,
      );
      resolve({events, looksComplete});
    });
  });
}
