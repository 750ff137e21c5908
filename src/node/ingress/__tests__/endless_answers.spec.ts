import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {AnswerReader} from '../answer_reader.js';
import type {CallerAnswer} from '../caller_answer.js';
import {Connections} from '../connections.js';
import {exchange, type AnswerSink, type ExchangeEnd} from '../exchange.js';
import type {RequestProtocol} from '../protocol.js';

const MIB = 1024 * 1024;
/** A server that nobody stops gives up after so much. */
const LAST_BYTE = 48 * MIB;
/** The limits of the reader, and what the sockets hold. */
const MOST_SENT = 16 * MIB;
const ATTEMPT = 'attempt';
const PIECE = Buffer.alloc(64 * 1024, 'x');

interface Endless {
  readonly address: string;
  /** Bytes that were sent when the connection closed. */
  readonly sent: Promise<number>;
}

/** Answers every request with `head`, then with `piece` again and again. */
async function serveEndlessly(
  t: TestContext,
  head: string,
  piece: Buffer = PIECE,
): Promise<Endless> {
  let note: (bytes: number) => void = () => undefined;
  const sent = new Promise<number>(resolve => {
    note = resolve;
  });
  const server = createServer(socket => {
    let sentBytes = 0;
    const writeOn = (): void => {
      sentBytes += piece.length;
      if (sentBytes > LAST_BYTE) socket.end();
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
  sink: AnswerSink,
): Promise<ExchangeEnd> {
  const connections = new Connections();
  t.after(() => connections.close());
  return exchange(
    connections.pool(address),
    {method: 'POST', path: '/', headers: [], body: Buffer.from('x')},
    sink,
    new AbortController().signal,
  );
}

function createReader(isStream: boolean, isResumable: boolean): AnswerReader {
  return new AnswerReader({
    protocol: {
      answerTraits: () => ({
        attemptId: ATTEMPT,
        isSigned: true,
        isEncoded: false,
        isNotRun: false,
      }),
      callerHeaders: () => [],
    } as unknown as RequestProtocol,
    answer: {
      begin: () => undefined,
      write: () => true,
    } as unknown as CallerAnswer,
    attemptId: ATTEMPT,
    isStream,
    isResumable,
    isFromPeer: false,
    progress: {
      lastEventId: undefined,
      isStarted: false,
      lastEventAtMs: 0,
      longestGapMs: 0,
    },
    onFirstAnswer: () => undefined,
  });
}

const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

const CASES = [
  {name: 'a head', head: 'HTTP/1.1 200 OK\r\nx-more: ', piece: PIECE},
  {
    name: 'interim answers',
    head: '',
    piece: Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1_000)),
  },
  {name: 'a plain answer', head: HEAD, piece: PIECE},
  {name: 'an event', head: HEAD, piece: PIECE, isStream: true},
  {
    name: 'an event of a resumable stream',
    head: HEAD,
    piece: PIECE,
    isStream: true,
    isResumable: true,
  },
];

// Guards against an upstream in trouble that sends bytes without end: an entry
// that keeps them runs out of memory and takes all its callers with it.
CASES.forEach(({name, head, piece, isStream = false, isResumable = false}) =>
  test(`${name} without end is given up with its connection`, async t => {
    const {address, sent} = await serveEndlessly(t, head, piece);
    const reader = createReader(isStream, isResumable);
    const end = await exchangeWith(t, address, reader);
    assert.equal(end.kind, 'broken');
    const sentBytes = await sent;
    assert.ok(sentBytes <= MOST_SENT, `${sentBytes} bytes were taken`);
  }),
);

// Guards against a limit that a long but proper stream runs into.
test('a stream of many events is not limited', async t => {
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
