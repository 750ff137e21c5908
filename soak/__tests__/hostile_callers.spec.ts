/**
 * Callers and an upstream that exhaust the memory of an entry, beside an ordinary
 * caller. Nothing here depends on the speed of the machine.
 */
import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  call,
  configure,
  headText,
  requestText,
  until,
} from '../../platform/__tests__/support/calls.js';
import {StandInUpstream} from '../../platform/standin/stand_in.js';
import {SERVICE} from '../layout.js';
import {startSmallFleet} from './support/small_fleet.js';

/** Beside the slots of soaks. */
const SLOT = 89;
const MIB = 1_048_576;
/** The smallest machine of an entry; a quarter of it bounds what is held. */
const MEMORY_MB = 210;
/**
 * Beyond it: what the runtime leaves uncollected of buffers outside its heap before it
 * looks for them, and its program code, which the kernel may drop.
 */
const RUNTIME_MB = 64 + 46;
const MAX_BODY_BYTES = 4 * MIB;
const ANSWER_BYTES = 4_100_000;
/** Their bodies, or the answers to them, take nearly the memory of the entry. */
const CROWD = 40;
const MAX_DESCRIPTORS = CROWD + 100;
const TIMEOUT_MS = 15_000;
const PATH = '/lookup/x';
/** The crowd stays open for so long after it has sent. */
const STAY_MS = 500;
const MAX_HEADER_BYTES = 16_000;
const SMALL_PIECE_BYTES = 64;
const BYTES_PER_WRITE = 65_536;

type Hostile = (socket: Socket) => void;

const announce = (bytes: number): string =>
  headText(PATH, TIMEOUT_MS, [`content-length: ${bytes}`]);
const CHUNKED_HEAD = (): string =>
  headText(PATH, TIMEOUT_MS, ['transfer-encoding: chunked']);

/** Sends chunks until the connection ends or `bytes` are sent. */
function sendPieces(socket: Socket, bytes: number, pieceBytes: number): void {
  const text = 'x'.repeat(pieceBytes);
  const piece = `${pieceBytes.toString(16)}\r\n${text}\r\n`;
  const pieces = Buffer.from(piece.repeat(BYTES_PER_WRITE / pieceBytes));
  const writeFrom = (sentBytes: number): void => {
    if (socket.destroyed || sentBytes >= bytes) return;
    const next = (): void => writeFrom(sentBytes + BYTES_PER_WRITE);
    if (socket.write(pieces)) setImmediate(next);
    else socket.once('drain', next);
  };
  writeFrom(0);
}

/** A head of legal size made of `line` and its end. */
function headOf(line: string): string {
  const count = Math.floor(MAX_HEADER_BYTES / (line.length + 2));
  const lines = Array.from({length: count}, () => line);
  return headText(PATH, TIMEOUT_MS, ['content-length: 0', ...lines]);
}

const HOSTILE: Readonly<Record<string, Hostile>> = {
  'announce bodies far over the limit': socket => {
    socket.write(announce(1_000 * MAX_BODY_BYTES));
    socket.write(Buffer.alloc(MIB));
  },
  'send bodies far over the limit': socket => {
    socket.write(CHUNKED_HEAD());
    sendPieces(socket, 4 * MAX_BODY_BYTES, BYTES_PER_WRITE);
  },
  'send very many short header lines': socket => {
    socket.write(headOf('a:'));
  },
  'send very many odd header lines': socket => {
    socket.write(headOf('!#$%&*+-.^_`|~: \t;,="\\ '));
  },
  'send large bodies but for their end': socket => {
    socket.write(announce(MAX_BODY_BYTES));
    socket.write(Buffer.alloc(MAX_BODY_BYTES - 1));
  },
  'send large bodies in small pieces but for their end': socket => {
    socket.write(CHUNKED_HEAD());
    sendPieces(socket, MAX_BODY_BYTES / 4, SMALL_PIECE_BYTES);
  },
  'read a byte a second of large answers': socket => {
    const timer = setInterval(() => socket.read(1), 1_000);
    socket.once('close', () => clearInterval(timer));
    socket.write(requestText(PATH, TIMEOUT_MS));
  },
};

/** A connection that reads nothing by itself. */
function open(t: TestContext, address: string): Socket {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host).pause();
  socket.on('error', () => undefined);
  t.after(() => socket.destroy());
  return socket;
}

/** The most resident memory of the entry in the test below. */
let peakBytes = Number.POSITIVE_INFINITY;

// Guards against clients that end a process by its memory or descriptors: the
// pattern is a crowd of any of these, most of which stay open.
test('an entry outlives hostile callers and a slow upstream', async t => {
  const upstream = new StandInUpstream('u0', SERVICE, 'north-a', {
    fillerBytes: ANSWER_BYTES,
  });
  const fleet = await startSmallFleet(t, SLOT, upstream, {
    memoryMb: MEMORY_MB,
  });
  const address = fleet.callerAddress;
  const isServed = async (): Promise<boolean> => {
    const {status, text} = await call(address, PATH, TIMEOUT_MS);
    return status === 200 && text.length >= ANSWER_BYTES;
  };
  await configure(
    fleet,
    [{name: 'lookup', path: '/lookup/', kind: 'safe', attempts: 1}],
    TIMEOUT_MS,
    isServed,
    MAX_BODY_BYTES,
  );
  const assertUsage = (): void => {
    const usage = fleet.usage();
    const {descriptors} = usage;
    peakBytes = usage.peakBytes;
    assert.deepEqual(fleet.unexpectedExits, []);
    const maxBytes = (MEMORY_MB + RUNTIME_MB) * MIB;
    assert.ok(peakBytes <= maxBytes, `${peakBytes} bytes`);
    assert.ok(descriptors <= MAX_DESCRIPTORS, `${descriptors} descriptors`);
  };
  const withCrowd = (name: string, send: Hostile, after = isServed) =>
    t.test(`callers that ${name}`, async subtest => {
      const crowd = Array.from({length: CROWD}, () => open(subtest, address));
      crowd.forEach(send);
      await sleep(STAY_MS);
      await until(after);
      assertUsage();
    });
  await Object.entries(HOSTILE).reduce(async (before, [name, send]) => {
    await before;
    await withCrowd(name, send);
  }, Promise.resolve());
  upstream.readsBodies = false;
  await withCrowd(
    'send whole bodies to an upstream that does not read',
    socket => {
      socket.write(announce(MAX_BODY_BYTES));
      socket.write(Buffer.alloc(MAX_BODY_BYTES));
    },
    () => Promise.resolve(true),
  );
  upstream.readsBodies = true;
  await until(isServed);
  assertUsage();
});

// Guards against an entry that outlives them only where the machine has more memory
// than its settings say. The peak is that of the test above.
test('an entry beside hostile callers stays within its memory', () => {
  assert.ok(peakBytes <= MEMORY_MB * MIB, `${peakBytes} bytes`);
});
