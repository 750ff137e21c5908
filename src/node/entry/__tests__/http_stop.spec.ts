import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ok} from 'neverthrow';
import {InFlightRequests} from '../in_flight.js';
import {runDaemon, type Daemon} from '../../daemon/run_daemon.js';
import {
  CALLER_KEY,
  complete,
  startEngine,
  startEntry,
  until,
  type HttpEntry,
} from './support/http_entry.js';

async function readyStatus({caller}: HttpEntry): Promise<number> {
  const answer = await fetch(`http://${caller}/readyz`);
  await answer.text();
  return answer.status;
}

test('a planned stop under load completes streams and refuses new requests', async t => {
  const {address} = await startEngine(t, {decodeMs: 25});
  const entry = await startEntry(t, {
    engines: [address],
    slots: 50,
    stopGraceMs: 300,
  });
  assert.equal(await readyStatus(entry), 200);
  const streams = Array.from({length: 20}, (_, index) =>
    complete(entry, {stream: index % 2 === 0, max_tokens: 40}).then(
      async answer => ({status: answer.status, text: await answer.text()}),
    ),
  );
  await until(
    'all requests are in flight',
    async () => (await entry.status()).inFlightCount >= 20,
  );
  const stopped = entry.entry.stop();
  // During the grace period, callers that still use this entry are served.
  await until(
    'readiness is withdrawn',
    async () => (await readyStatus(entry)) === 503,
  );
  assert.equal((await complete(entry, {max_tokens: 1})).status, 200);
  await until(
    'new requests are refused',
    async () => (await complete(entry, {max_tokens: 1})).status === 503,
  );
  const refused = await complete(entry);
  const {error} = (await refused.json()) as {error: Record<string, unknown>};
  assert.deepEqual(
    [refused.status, error['code'], error['work']],
    [503, 'stopping', 'not_run'],
  );
  assert.equal(refused.headers.get('connection'), 'close');
  assert.equal(await readyStatus(entry), 503);
  const answers = await Promise.all(streams);
  answers.forEach(({status, text}, index) => {
    assert.equal(status, 200);
    assert.ok(!text.includes('event: error'));
    if (index % 2 === 0) assert.ok(text.endsWith('data: [DONE]\n\n'));
    else assert.equal(text.split(' ').length >= 40, true);
  });
  await stopped;
  await assert.rejects(fetch(`http://${entry.caller}/healthz`));
});

test('a caller that reads slowly gets its whole stream during a planned stop', async t => {
  const {address} = await startEngine(t, {prefillMs: 0, decodeMs: 0});
  const entry = await startEntry(t, {engines: [address]});
  const [host, port] = entry.caller.split(':');
  const socket = connect(Number(port), host);
  const body = JSON.stringify({
    model: 'chat',
    stream: true,
    max_tokens: 600,
    prompt: 'b'.repeat(20_000),
  });
  socket.write(
    `POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer ${CALLER_KEY}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  await sleep(400);
  const stopped = entry.entry.stop();
  let text = '';
  socket.on('data', chunk => {
    text += chunk.toString('latin1');
    socket.pause();
    setTimeout(() => socket.resume(), 1);
  });
  await new Promise(resolve => socket.on('close', resolve));
  assert.equal(text.split('data: {').length - 1, 600);
  assert.match(text, /data: \[DONE\]/);
  await stopped;
});

test('a connection with an incomplete request does not delay a planned stop', async t => {
  const entry = await startEntry(t, {engines: ['127.0.0.1:9']});
  const [host, port] = entry.caller.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => undefined);
  socket.write('POST /v1/chat/completions HTTP/1.1\r\nhost:');
  await sleep(50);
  const startedAtMs = performance.now();
  await entry.entry.stop();
  assert.ok(performance.now() - startedAtMs < 4_000);
  socket.destroy();
});

test('requests that arrive during a drain do not prolong it', async () => {
  const inFlight = new InFlightRequests();
  const ends: Array<() => void> = [];
  const run = (): void =>
    void inFlight.track(() => new Promise<void>(resolve => ends.push(resolve)));
  run();
  const drained = inFlight.drain(1_000);
  run();
  ends[0]?.();
  assert.equal(await drained, true);
  assert.equal(inFlight.size(), 1);
  assert.equal(await inFlight.drain(10), false);
});

/** Runs a daemon whose planned stop ends when the test calls `finish`. */
function startDaemon(t: TestContext): {
  readonly exits: number[];
  readonly stops: () => number;
  readonly finish: () => void;
} {
  const exits: number[] = [];
  const before = new Map(
    (['SIGTERM', 'SIGINT'] as const).map(name => [
      name,
      process.listeners(name),
    ]),
  );
  t.mock.method(process, 'exit', (code: number) => exits.push(code));
  let stopCount = 0;
  let finish = (): void => undefined;
  const daemon: Daemon = {
    start: async () => undefined,
    stop: () => {
      stopCount += 1;
      return new Promise(resolve => {
        finish = resolve;
      });
    },
  };
  runDaemon(
    {
      name: 'test',
      description: 'A daemon of this test.',
      loadSettings: () => ok({}),
      create: () => daemon,
    },
    ['node', 'test', 'settings.yaml'],
  );
  t.after(() =>
    before.forEach((known, name) =>
      process
        .listeners(name)
        .filter(listener => !known.includes(listener))
        .forEach(listener => process.off(name, listener)),
    ),
  );
  return {exits, stops: () => stopCount, finish: () => finish()};
}

test('the first signal starts a planned stop, after which the process exits', async t => {
  const daemon = startDaemon(t);
  process.emit('SIGTERM');
  await sleep(5);
  assert.deepEqual([daemon.stops(), daemon.exits], [1, []]);
  daemon.finish();
  await sleep(5);
  assert.deepEqual(daemon.exits, [0]);
});

test('a second signal exits the process immediately', async t => {
  const daemon = startDaemon(t);
  process.emit('SIGTERM');
  process.emit('SIGINT');
  assert.equal(daemon.exits[0], 1);
});
