import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {test, type TestContext} from 'node:test';
import {pauseClockForIo, runWhile} from '../../__tests__/support/paused_io.js';
import {closeServer, listen} from '../../http/server.js';
import {asId} from '../../types/ids.js';
import {toGatewayError, type GatewayError} from '../../types/errors.js';
import {sendError} from '../answers.js';
import {HttpForwarder, type ForwardEnvelope} from '../forwarding.js';
import {
  CLUSTER_SECRET,
  refusingAddress,
  startEngine,
  startEntry,
  startRawServer,
} from './support/http_entry.js';

const DEADLINES = {firstByteTimeoutMs: 500, pieceTimeoutMs: 300};

function envelopeOf(body: object, remainingMs: number): ForwardEnvelope {
  return {
    kind: 'model',
    requestId: 'forwarded-1',
    workspaceId: 'workspace',
    workloadId: 'talk',
    path: '/v1/chat/completions',
    body: Buffer.from(JSON.stringify(body)).toString('base64'),
    remainingMs,
    firstTokenAllowedMs: 5_000,
    lostUpstreamIds: [],
  };
}

/** Starts a listener that forwards every request to one inner address. */
async function startForwarding(
  t: TestContext,
  inner: string,
  envelope: ForwardEnvelope,
): Promise<{address: string; errors: GatewayError[]}> {
  const forwarder = new HttpForwarder({
    self: asId('entry-2'),
    clusterSecret: CLUSTER_SECRET,
  });
  const errors: GatewayError[] = [];
  const server = createServer((_request, response) => {
    const {signal} = new AbortController();
    forwarder
      .forward(inner, envelope, response, signal, DEADLINES)
      .catch(thrown => {
        const error = toGatewayError(thrown, 'test', 'self');
        errors.push(error);
        sendError(response, error);
      });
  });
  const address = await listen(server, '127.0.0.1:0');
  t.after(async () => {
    await forwarder.close();
    await closeServer(server, 100);
  });
  return {address, errors};
}

const STREAM = {
  model: 'chat',
  stream: true,
  prompt: 'draw a face',
  max_tokens: 20,
};

test('a forwarded stream that outlasts its deadline is not aborted', async t => {
  const {address} = await startEngine(t, {decodeMs: 40});
  const entry = await startEntry(t, {engines: [address]});
  const {address: origin, errors} = await startForwarding(
    t,
    entry.inner,
    envelopeOf(STREAM, 400),
  );
  const text = await (await fetch(`http://${origin}/`)).text();
  assert.deepEqual(errors, []);
  assert.equal(text.split('data: {').length - 1, 20);
  assert.ok(text.endsWith('data: [DONE]\n\n'));
});

test('a forwarded answer that breaks off is not relayed as complete', async t => {
  const cases: ReadonlyArray<readonly [string, RegExp | undefined]> = [
    ['text/event-stream', /^data: 1\n\nevent: error\ndata: \{.*\}\n\n$/],
    ['application/json', undefined],
  ];
  for (const [type, expected] of cases) {
    const inner = await startRawServer(t, ({socket}) => {
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\ncontent-length: 100\r\n\r\ndata: 1\n\ndata: 2`,
      );
      setTimeout(() => socket.destroy(), 20);
    });
    const envelope = envelopeOf(STREAM, 1_000);
    const {address, errors} = await startForwarding(t, inner, envelope);
    const text = await fetch(`http://${address}/`)
      .then(answer => answer.text())
      .catch(() => undefined);
    if (expected === undefined) assert.equal(text, undefined);
    else assert.match(text ?? '', expected);
    assert.deepEqual(
      errors.map(({code, work}) => [code, work]),
      [['truncated', 'unknown']],
    );
  }
});

test('an unreachable domain is reported as not run, an unresponsive one as unknown', async t => {
  pauseClockForIo(t);
  const silent = await startRawServer(t, () => undefined);
  const answers = Promise.all(
    [await refusingAddress(), silent].map(async inner => {
      const envelope = envelopeOf(STREAM, 200);
      const {address} = await startForwarding(t, inner, envelope);
      const answer = await fetch(`http://${address}/`);
      const {error} = (await answer.json()) as {error: Record<string, string>};
      return [error['code'], error['work']];
    }),
  );
  const outcomes = await runWhile(t, answers);
  assert.deepEqual(outcomes, [
    ['unreachable', 'not_run'],
    ['unreachable', 'unknown'],
  ]);
});

// Guards against a caller that gets the answer to another request, or is told that
// its request has not run because another one has not.
test('an answer of another domain that names another request is not relayed', async t => {
  const cases: ReadonlyArray<readonly [string, string]> = [
    ['200 OK', 'not its own'],
    [
      '503 Service Unavailable',
      JSON.stringify({error: {code: 'not_ready', work: 'not_run'}}),
    ],
  ];
  const outcomes = await Promise.all(
    cases.map(async ([status, body]) => {
      const inner = await startRawServer(t, ({socket}) => {
        socket.write(
          `HTTP/1.1 ${status}\r\nx-request-id: forwarded-0\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
        );
      });
      const envelope = envelopeOf(STREAM, 1_000);
      const {address, errors} = await startForwarding(t, inner, envelope);
      await (await fetch(`http://${address}/`)).text();
      return errors.map(({code, work}) => [code, work]);
    }),
  );
  assert.deepEqual(
    outcomes,
    cases.map(() => [['unreachable', 'unknown']]),
  );
});
