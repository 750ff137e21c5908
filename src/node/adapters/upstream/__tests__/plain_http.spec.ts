import assert from 'node:assert/strict';
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
  pauseClockForIo,
  runWhile,
} from '../../../__tests__/support/paused_io.js';
import {matchSnapshot} from '../../../__tests__/support/snapshot.js';
import {monotonicNowMs} from '../../../clock/clock.js';
import {asId, type UpstreamId} from '../../../types/ids.js';
import {PlainHttpUpstream} from '../plain_http.js';
import type {DispatchOutcome, ServiceRequest} from '../plain_service.js';

const REQUEST: ServiceRequest = {
  method: 'POST',
  path: '/bookings?stand=1',
  headers: {'x-stand': '1', authorization: 'Bearer secret', te: 'trailers'},
  body: Buffer.from('a sitting'),
};

interface Service {
  readonly address: string;
  readonly connections: Socket[];
  received: number;
  stop(): Promise<void>;
}

async function startService(
  t: TestContext,
  listener: RequestListener,
): Promise<Service> {
  const server = createServer((request, response) => {
    service.received += 1;
    listener(request, response);
  });
  const connections: Socket[] = [];
  server.on('connection', socket => connections.push(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const stop = (): Promise<void> => {
    server.closeAllConnections();
    return new Promise(resolve => server.close(() => resolve()));
  };
  const {port} = server.address() as AddressInfo;
  const service: Service = {
    address: `127.0.0.1:${port}`,
    connections,
    received: 0,
    stop,
  };
  t.after(stop);
  return service;
}

async function dispatch(
  t: TestContext,
  address: string,
  timeoutMs = 5_000,
  maxAnswerBytes = 64,
  request = REQUEST,
): Promise<DispatchOutcome> {
  const upstream = new PlainHttpUpstream({maxAnswerBytes});
  t.after(() => upstream.close());
  return upstream.dispatch(
    {upstreamId: asId<UpstreamId>('booking-1'), address},
    request,
    monotonicNowMs() + timeoutMs,
  );
}

function describe(outcome: DispatchOutcome): unknown {
  if (outcome.kind !== 'answered') {
    const {code, peer, retryAfterMs, work} = outcome.error;
    return {kind: outcome.kind, code, peer, retryAfterMs, work};
  }
  const {status, body, bodySizeBytes} = outcome.answer;
  return {status, body: body && Buffer.from(body).toString(), bodySizeBytes};
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

test('a request arrives complete and without credentials', async t => {
  const service = await startService(t, (request, response) => {
    const {method, url, headers} = request;
    const {authorization, te} = headers;
    const seen = {method, url, stand: headers['x-stand'], authorization, te};
    void readBody(request).then(body =>
      response.end(JSON.stringify({...seen, body})),
    );
  });
  const outcome = await dispatch(t, service.address, 5_000, 1_000);
  matchSnapshot(import.meta.url, 'request', describe(outcome));
});

type Answer = (response: ServerResponse, request: IncomingMessage) => void;

/** How the test service answers a request after reading its body. */
const ANSWERS: Readonly<Record<string, Answer>> = {
  'ordinary answer': response => response.writeHead(201).end('sitting 7'),
  'error answer': response => response.writeHead(500).end('no'),
  'plain 503': response => response.writeHead(503).end(),
  'refusal before running': response =>
    response.writeHead(503, {'x-not-run': '1', 'retry-after': '2'}).end('busy'),
  'x-not-run on another status': response =>
    response.writeHead(429, {'x-not-run': '1'}).end(),
  'answer above the limit': response => response.end('x'.repeat(65)),
  'connection lost before the answer': (_response, request) =>
    request.socket.destroy(),
  'connection lost during the answer': (response, request) => {
    response.writeHead(200, {'content-length': '100'}).write('sit');
    setTimeout(() => request.socket.destroy(), 20);
  },
  'no answer at all': () => undefined,
};

// Guards against a call that is reported as not run, or retried, although the
// service may have run it.
test('each kind of answer maps to its outcome', async t => {
  pauseClockForIo(t);
  const dispatched = Promise.all(
    Object.entries(ANSWERS).map(async ([name, answer]) => {
      const service = await startService(t, (request, response) => {
        void readBody(request).then(() => answer(response, request));
      });
      const outcome = await dispatch(t, service.address, 300);
      return [name, {...(describe(outcome) as object), sent: service.received}];
    }),
  );
  const outcomes = await runWhile(t, dispatched);
  matchSnapshot(import.meta.url, 'answers', Object.fromEntries(outcomes));
});

test('a refused connection and an invalid request are reported as not run', async t => {
  const service = await startService(t, () => undefined);
  const invalid = await dispatch(t, service.address, 300, 64, {
    ...REQUEST,
    path: 'no slash',
  });
  await service.stop();
  const refused = await dispatch(t, service.address);
  assert.deepEqual([invalid.kind, refused.kind], ['not_run', 'not_run']);
  assert.equal(service.received, 0);
});

// Guards against reuse of a connection that stalled or was closed while idle.
test('each request has its own connection', async t => {
  const service = await startService(t, (_request, response) => {
    response.end('ok');
  });
  const upstream = new PlainHttpUpstream();
  const target = {
    upstreamId: asId<UpstreamId>('booking-1'),
    address: service.address,
  };
  const send = () =>
    upstream.dispatch(target, REQUEST, monotonicNowMs() + 5_000);
  await send();
  await send();
  await upstream.close();
  assert.equal(service.connections.length, 2);
});

// Guards against half of an answer that is recorded as the whole one, because a
// crash of the service closes its connections in an orderly way.
test('an answer without a length has an unknown outcome if its service ends', async t => {
  const service = await startService(t, ({socket}) => {
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
    void service.stop();
  });
  const {kind} = await dispatch(t, service.address);
  assert.equal(kind, 'unknown');
});

// Guards against a whole answer that is taken for half of one.
test('an answer without a length is recorded if its service lives on', async t => {
  const {address} = await startService(t, ({socket}) => {
    socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole');
  });
  const outcome = await dispatch(t, address);
  assert.equal(outcome.kind, 'answered');
});

// Guards against half of an answer that is recorded as the whole one, because the
// reset of its connection looks like its end.
test('an answer without a length that is reset has an unknown outcome', async t => {
  const {address} = await startService(t, ({socket}) => {
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
    socket.resetAndDestroy();
  });
  const {kind} = await dispatch(t, address);
  assert.equal(kind, 'unknown');
});
