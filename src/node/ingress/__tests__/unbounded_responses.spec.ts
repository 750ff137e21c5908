import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {ResponseReader} from '../response_reader.js';
import type {CallerResponse} from '../caller_response.js';
import {ConnectionPools} from '../connections.js';
import {exchange, type ResponseSink, type ExchangeEnd} from '../exchange.js';
import type {RequestProtocol} from '../protocol.js';

const MIB = 1024 * 1024;
/** The server stops here if the client does not close the connection. */
const MAX_SERVED_BYTES = 48 * MIB;
/** Covers the limits of the reader and the socket buffers. */
const MAX_ACCEPTED_BYTES = 16 * MIB;
/** The heap may grow by garbage, but not with each chunk that came. */
const MAX_HELD_BYTES = 64 * MIB;
const ATTEMPT_ID = 'attempt';
const CHUNK = Buffer.alloc(64 * 1024, 'x');

interface UnboundedServer {
  readonly address: string;
  /** Bytes that were sent when the connection closed. */
  readonly sent: Promise<number>;
}

/** Responds to every request with `head`, then repeats `piece` endlessly. */
async function serveUnbounded(
  t: TestContext,
  head: string,
  piece: Buffer = CHUNK,
): Promise<UnboundedServer> {
  let note: (bytes: number) => void = () => undefined;
  const sent = new Promise<number>(resolve => {
    note = resolve;
  });
  const server = createServer(socket => {
    let sentBytes = 0;
    const writeOn = (): void => {
      sentBytes += piece.length;
      if (sentBytes > MAX_SERVED_BYTES) socket.end();
      else if (socket.write(piece)) setImmediate(writeOn);
      else socket.once('drain', writeOn);
    };
    socket.on('error', () => undefined);
    socket.on('close', () => note(sentBytes));
    socket.once('data', () => {
      socket.write(head);
      writeOn();
    });
  });
  t.after(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, sent};
}

async function exchangeWith(
  t: TestContext,
  address: string,
  sink: ResponseSink,
): Promise<ExchangeEnd> {
  const connections = new ConnectionPools();
  t.after(() => connections.close());
  return exchange(
    connections.pool(address),
    {method: 'POST', path: '/', headers: [], body: Buffer.from('x')},
    sink,
    new AbortController().signal,
  );
}

function createReader(isStream: boolean, isResumable: boolean): ResponseReader {
  return new ResponseReader({
    protocol: {
      responseTraits: () => ({
        attemptId: ATTEMPT_ID,
        isSigned: true,
        isEncoded: false,
        isNotRun: false,
      }),
      callerHeaders: () => [],
    } as unknown as RequestProtocol,
    response: {
      begin: () => undefined,
      write: () => true,
    } as unknown as CallerResponse,
    attemptId: ATTEMPT_ID,
    isStream,
    isResumable,
    isFromPeer: false,
    isForPeer: false,
    progress: {
      lastEventId: undefined,
      begun: undefined,
      isStarted: false,
      lastEventAtMs: 0,
      longestGapMs: 0,
    },
    onResponseStart: () => undefined,
  });
}

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';
const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const ONE_BYTE_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(1_000));

const CASES = [
  {name: 'a response head', head: 'HTTP/1.1 200 OK\r\nx-more: ', piece: CHUNK},
  {
    name: 'a series of interim responses',
    head: '',
    piece: Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1_000)),
  },
  {name: 'a plain response', head: HEAD, piece: CHUNK},
  {
    name: 'a plain response in chunks of one byte',
    head: CHUNKED_HEAD,
    piece: ONE_BYTE_CHUNKS,
  },
  {
    name: 'an event in chunks of one byte',
    head: CHUNKED_HEAD,
    piece: ONE_BYTE_CHUNKS,
    isStream: true,
    isResumable: true,
  },
  {name: 'an event', head: HEAD, piece: CHUNK, isStream: true},
  {
    name: 'an event of a resumable stream',
    head: HEAD,
    piece: CHUNK,
    isStream: true,
    isResumable: true,
  },
];

// Guards against a faulty upstream that sends bytes without end: an entry that
// buffers them runs out of memory, which fails the requests of all its callers.
CASES.forEach(({name, head, piece, isStream = false, isResumable = false}) =>
  test(`${name} without end is aborted and its connection closed`, async t => {
    const {address, sent} = await serveUnbounded(t, head, piece);
    const reader = createReader(isStream, isResumable);
    const heapUsedBytes = process.memoryUsage().heapUsed;
    const end = await exchangeWith(t, address, reader);
    assert.equal(end.kind, 'broken');
    const sentBytes = await sent;
    const heldBytes = process.memoryUsage().heapUsed - heapUsedBytes;
    assert.ok(heldBytes <= MAX_HELD_BYTES, `${heldBytes} bytes of heap`);
    assert.ok(sentBytes <= MAX_ACCEPTED_BYTES, `${sentBytes} bytes were sent`);
  }),
);

// Guards against a limit on events that applies to the stream as a whole.
test('a long stream of short events is not aborted', async t => {
  const server = createServer((socket: Socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      const event = `id: 1\ndata: ${'x'.repeat(60_000)}\n\n`;
      socket.end(HEAD + event.repeat(100));
    });
  });
  t.after(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const reader = createReader(true, false);
  const end = await exchangeWith(t, `127.0.0.1:${port}`, reader);
  assert.equal(end.kind, 'complete');
});
