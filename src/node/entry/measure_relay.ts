/**
 * Measures the CPU time that an entry spends on each relayed piece of a
 * stream, compared with a bare relay of `http` and `undici` in the same process.
 * Engine and callers run in worker threads, so that the CPU time of the main
 * thread is that of the relay alone. Run:
 * `node dist/node/entry/measure_relay.js [seconds] [rounds]`.
 */
import {readFileSync} from 'node:fs';
import {
  createServer,
  request as httpRequest,
  Agent as HttpAgent,
} from 'node:http';
import type {ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
  type MessagePort,
} from 'node:worker_threads';
import {Agent, request} from 'undici';
import {monotonicNowMs} from '../clock/clock.js';
import {closeServer, listen, readBody} from '../http/server.js';
import {CALLER_KEY, startEntry} from './__tests__/support/http_entry.js';

const ANY_PORT = '127.0.0.1:0';
const STREAM_COUNT = 64;
const PIECES_PER_STREAM = 200;
const PIECE_INTERVAL_MS = 4;
const WARM_UP_MS = 1_500;
const DEFAULT_SECONDS = 4;
const DEFAULT_ROUNDS = 5;
const MAX_BODY_BYTES = 1024 * 1024;
const NS_PER_US = 1_000;
/** Highest ratio to the bare relay's time per piece that the design allows. */
const TARGET_RATIO = 1.3;

const PIECE = Buffer.from(
  `data: ${JSON.stringify({
    id: 'chatcmpl-0123456789',
    object: 'chat.completion.chunk',
    model: 'chat',
    choices: [{index: 0, delta: {content: ' token'}, finish_reason: null}],
  })}\n\n`,
);
const BODY = JSON.stringify({
  model: 'chat',
  stream: true,
  max_tokens: PIECES_PER_STREAM,
  messages: [{role: 'user', content: 'draw a face'}],
});

interface WorkerJob {
  readonly role: 'engine' | 'callers';
}

/** CPU time that the main thread has used, in nanoseconds. */
function mainThreadNs(): number {
  const path = `/proc/self/task/${process.pid}/schedstat`;
  return Number(readFileSync(path, 'utf8').split(' ')[0]);
}

/** Runs an engine that sends pieces at a constant rate on every open stream. */
function runEngine(port: MessagePort): void {
  const streams = new Map<ServerResponse, number>();
  setInterval(() => {
    streams.forEach((sent, response) => {
      if (sent < PIECES_PER_STREAM) {
        response.write(PIECE);
        streams.set(response, sent + 1);
        return;
      }
      response.end('data: [DONE]\n\n');
      streams.delete(response);
    });
  }, PIECE_INTERVAL_MS);
  const server = createServer((incoming, response) => {
    if (incoming.method === 'GET') {
      response.end(
        JSON.stringify({
          runningCount: 0,
          queuedCount: 0,
          slotCount: 2 * STREAM_COUNT,
          loadedModelIds: ['chat'],
          leaving: false,
          cacheSequence: 0,
        }),
      );
      return;
    }
    incoming.resume().once('end', () => {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      response.flushHeaders();
      response.once('close', () => streams.delete(response));
      streams.set(response, 0);
    });
  });
  void listen(server, ANY_PORT).then(address => port.postMessage(address));
}

/** Keeps `STREAM_COUNT` streams open to one address and counts their bytes. */
function runCallers(port: MessagePort): void {
  const agent = new HttpAgent({keepAlive: true});
  let address: string | undefined;
  let byteCount = 0;
  let failureCount = 0;
  const open = (target: string): void => {
    if (target !== address) return;
    const call = httpRequest(`http://${target}/v1/chat/completions`, {
      method: 'POST',
      agent,
      headers: {authorization: `Bearer ${CALLER_KEY}`},
    });
    call.on('response', answer => {
      if (answer.statusCode !== 200) failureCount += 1;
      answer.on('data', (chunk: Buffer) => {
        byteCount += chunk.length;
      });
      answer.on('close', () => setTimeout(() => open(target), 1));
    });
    call.on('error', () => {
      failureCount += 1;
    });
    call.end(BODY);
  };
  port.on('message', (message: {target?: string; read?: true}) => {
    if (message.read === true) {
      port.postMessage({byteCount, failureCount});
      return;
    }
    address = message.target;
    failureCount = 0;
    if (address === undefined) return;
    for (let index = 0; index < STREAM_COUNT; index += 1) open(address);
  });
}

/** Starts the baseline: a relay without any of the gateway's processing. */
async function startBareRelay(engine: string) {
  const agent = new Agent({
    connections: 256,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const server = createServer((incoming, response) => {
    void (async () => {
      const body = await readBody(incoming, MAX_BODY_BYTES);
      const answer = await request(`http://${engine}${incoming.url ?? '/'}`, {
        method: 'POST',
        dispatcher: agent,
        body,
      });
      response.writeHead(answer.statusCode, {
        'content-type': String(answer.headers['content-type']),
      });
      answer.body.pipe(response);
    })();
  });
  const address = await listen(server, ANY_PORT);
  const stop = async (): Promise<void> => {
    await closeServer(server);
    await agent.destroy();
  };
  return {address, stop};
}

interface Counts {
  readonly byteCount: number;
  readonly failureCount: number;
}

function nextMessage<Message>(worker: Worker): Promise<Message> {
  return new Promise(resolve => worker.once('message', resolve));
}

function readCounts(callers: Worker): Promise<Counts> {
  const counts = nextMessage<Counts>(callers);
  callers.postMessage({read: true});
  return counts;
}

/** Measures the CPU time per piece relayed by the server at `target`. */
async function measure(
  callers: Worker,
  target: string,
  seconds: number,
): Promise<{usPerPiece: number; piecesPerSecond: number}> {
  callers.postMessage({target});
  await sleep(WARM_UP_MS);
  const before = await readCounts(callers);
  const beforeNs = mainThreadNs();
  const beforeMs = monotonicNowMs();
  await sleep(seconds * 1_000);
  const afterNs = mainThreadNs();
  const afterMs = monotonicNowMs();
  const after = await readCounts(callers);
  callers.postMessage({});
  // Waits until the open streams have ended before the next measurement.
  await sleep(PIECES_PER_STREAM * PIECE_INTERVAL_MS + 500);
  if (after.failureCount > 0) throw new Error(`${after.failureCount} failed`);
  const pieces = (after.byteCount - before.byteCount) / PIECE.length;
  return {
    usPerPiece: (afterNs - beforeNs) / NS_PER_US / pieces,
    piecesPerSecond: (pieces * 1_000) / (afterMs - beforeMs),
  };
}

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[values.length >> 1] ?? NaN;

const rounded = (value: number): number => Math.round(value * 100) / 100;

async function main(argv: readonly string[]): Promise<void> {
  const seconds = Number(argv[2] ?? DEFAULT_SECONDS);
  const rounds = Number(argv[3] ?? DEFAULT_ROUNDS);
  const start = (role: WorkerJob['role']): Worker =>
    new Worker(fileURLToPath(import.meta.url), {workerData: {role}});
  const engineWorker = start('engine');
  const callers = start('callers');
  const engine = await nextMessage<string>(engineWorker);
  const tasks: Array<() => unknown> = [];
  const entry = await startEntry(
    {after: task => void tasks.push(task)},
    {engines: [engine], slots: 2 * STREAM_COUNT},
  );
  const bare = await startBareRelay(engine);
  const results: Array<{bare: number; entry: number}> = [];
  let piecesPerSecond = 0;
  for (let round = 0; round < rounds; round += 1) {
    const viaBare = await measure(callers, bare.address, seconds);
    const viaEntry = await measure(callers, entry.caller, seconds);
    piecesPerSecond = viaEntry.piecesPerSecond;
    results.push({bare: viaBare.usPerPiece, entry: viaEntry.usPerPiece});
  }
  const ratio = median(results.map(each => each.entry / each.bare));
  const report = {
    streams: STREAM_COUNT,
    piecesPerStream: PIECES_PER_STREAM,
    piecesPerSecond: Math.round(piecesPerSecond),
    bareUsPerPiece: rounded(median(results.map(each => each.bare))),
    entryUsPerPiece: rounded(median(results.map(each => each.entry))),
    ratio: rounded(ratio),
    ratios: results.map(each => rounded(each.entry / each.bare)),
    targetRatio: TARGET_RATIO,
    meetsTarget: ratio <= TARGET_RATIO,
  };
  console.log(JSON.stringify(report, null, 2));
  await Promise.all([engineWorker.terminate(), callers.terminate()]);
  await bare.stop();
  for (const task of tasks) await task();
}

if (!isMainThread && parentPort !== null) {
  const {role} = workerData as WorkerJob;
  if (role === 'engine') runEngine(parentPort);
  else runCallers(parentPort);
} else if (process.argv[1]?.endsWith('measure_relay.js') === true) {
  await main(process.argv);
}
