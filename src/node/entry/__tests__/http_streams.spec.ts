import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  complete,
  refusingAddress,
  startEngine,
  startEntry,
  startRawServer,
  until,
  type HttpEntry,
  type RawRequest,
} from './support/http_entry.js';

const POLICY = {firstByteTimeoutMs: 250, pieceTimeoutMs: 200};
const IDLE_LOAD = JSON.stringify({
  runningCount: 0,
  queuedCount: 0,
  slotCount: 8,
  loadedModelIds: ['chat'],
  leaving: false,
  cacheSequence: 0,
});
const EVENTS = [
  ...Array.from({length: 6}, (_, index) => `data: {"piece":${index}}\n\n`),
  'data: [DONE]\n\n',
];
const FULL_STREAM = EVENTS.join('');

/** Starts a raw engine; `answer` gets all requests except load queries. */
function startRawEngine(
  t: TestContext,
  answer: (request: RawRequest) => void,
): Promise<string> {
  return startRawServer(t, request => {
    if (!request.line.startsWith('GET /load')) return answer(request);
    const head = `content-type: application/json\r\ncontent-length: ${IDLE_LOAD.length}`;
    request.socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${IDLE_LOAD}`);
  });
}

function idOf({line, headers}: RawRequest): string {
  const inPath = /\/v1\/streams\/([^?\s]+)/.exec(line)?.[1];
  return inPath ?? /x-request-id: (\S+)/i.exec(headers)?.[1] ?? '';
}

function offsetOf({line}: RawRequest): number {
  return Number(/offset=(\d+)/.exec(line)?.[1] ?? 0);
}

/** Sends the head of an event stream and a part of its bytes. */
function sendPart(
  {socket}: RawRequest,
  requestId: string,
  offset: number,
  text: string,
): void {
  socket.write(
    `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nx-request-id: ${requestId}\r\nx-stream-offset: ${offset}\r\n\r\n`,
  );
  if (text !== '') {
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
  }
}

const isResume = (request: RawRequest): boolean =>
  request.line.startsWith('GET /v1/streams/');
const isCancel = (request: RawRequest): boolean =>
  request.line.startsWith('DELETE ');

async function fetchStreamText(entry: HttpEntry, body = {}): Promise<string> {
  const answer = await complete(entry, {stream: true, ...body});
  return answer.text();
}

async function assertNoRequestsLeft(entry: HttpEntry): Promise<void> {
  await until('no request in flight', async () => {
    const {inFlightCount, queuedCount} = await entry.status();
    return inFlightCount + queuedCount === 0;
  });
}

test('a stream that outlasts the first-byte timeout is not aborted', async t => {
  const {address} = await startEngine(t, {decodeMs: 50});
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  // The first-byte timeout and two resumes add up to 650 ms; the stream takes
  // 1 s.
  const text = await fetchStreamText(entry, {max_tokens: 20});
  assert.equal(text.split('data: {').length - 1, 20);
  assert.ok(text.endsWith('data: [DONE]\n\n'));
  const metrics = await (await fetch(`http://${entry.caller}/metrics`)).text();
  assert.ok(!/tries_failed_total/.test(metrics));
});

test('a stream is resumed at the byte where its connection broke', async t => {
  const cut = FULL_STREAM.indexOf('"piece":3') + 4;
  const offsets: number[] = [];
  const address = await startRawEngine(t, request => {
    const id = idOf(request);
    if (!isResume(request)) {
      sendPart(request, id, 0, FULL_STREAM.slice(0, cut));
      setTimeout(() => request.socket.destroy(), 20);
      return;
    }
    const offset = offsetOf(request);
    offsets.push(offset);
    sendPart(request, id, offset, FULL_STREAM.slice(offset));
    request.socket.write('0\r\n\r\n');
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  assert.equal(await fetchStreamText(entry), FULL_STREAM);
  assert.equal(offsets.length, 1);
  await assertNoRequestsLeft(entry);
});

const WRONG_RESUMES: Readonly<
  Record<string, (request: RawRequest) => {id: string; offset: number}>
> = {
  'another request id': request => ({
    id: 'somebody-else.1',
    offset: offsetOf(request),
  }),
  'another offset': request => ({
    id: idOf(request),
    offset: offsetOf(request) + 1,
  }),
  'the answer from its start': request => ({id: idOf(request), offset: 0}),
};

for (const [name, wrongReply] of Object.entries(WRONG_RESUMES)) {
  test(`a resume that returns ${name} is rejected, so that answers are not mixed`, async t => {
    const address = await startRawEngine(t, request => {
      if (isCancel(request)) return;
      if (!isResume(request)) {
        sendPart(request, idOf(request), 0, EVENTS.slice(0, 3).join(''));
        setTimeout(() => request.socket.destroy(), 20);
        return;
      }
      const {id, offset} = wrongReply(request);
      sendPart(request, id, offset, 'data: foreign\n\ndata: [DONE]\n\n');
      request.socket.write('0\r\n\r\n');
    });
    const entry = await startEntry(t, {engines: [address], policy: POLICY});
    const text = await fetchStreamText(entry);
    assert.ok(text.startsWith(EVENTS.slice(0, 3).join('')));
    assert.match(text, /\n\nevent: error\ndata: \{"error".*\}\n\n$/);
    assert.ok(!text.includes('foreign') && !text.includes('[DONE]'));
    await assertNoRequestsLeft(entry);
  });
}

test('a resume without a request id is rejected, so that answers are not mixed', async t => {
  const address = await startRawEngine(t, request => {
    if (isCancel(request)) return;
    if (!isResume(request)) {
      sendPart(request, idOf(request), 0, EVENTS[0] ?? '');
      setTimeout(() => request.socket.destroy(), 20);
      return;
    }
    const text = 'data: foreign\n\ndata: [DONE]\n\n';
    request.socket.write(
      `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-stream-offset: ${offsetOf(request)}\r\ncontent-length: ${text.length}\r\n\r\n${text}`,
    );
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  const text = await fetchStreamText(entry);
  assert.match(text, /\n\nevent: error\n/);
  assert.ok(!text.includes('foreign'));
});

test('a stream truncated inside an event ends in a parsable error event, not in [DONE]', async t => {
  const cut = EVENTS[0] + 'data: {"piece":';
  const address = await startRawEngine(t, request => {
    if (isCancel(request) || isResume(request)) {
      request.socket.end('HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n');
      return;
    }
    sendPart(request, idOf(request), 0, cut);
    // The chunked body is complete, but the event stream has no [DONE] event.
    request.socket.write('0\r\n\r\n');
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  const text = await fetchStreamText(entry);
  const events = text.split('\n\n').filter(event => event !== '');
  assert.equal(`${events[0]}\n\n`, EVENTS[0]);
  assert.match(events[1] ?? '', /^event: error\ndata: \{"error"/);
  assert.equal(events.length, 2);
  await assertNoRequestsLeft(entry);
});

test('the text of [DONE] inside a piece does not make a truncated stream complete', async t => {
  const cut = `${EVENTS[0]}data: {"content":"data: [DONE]`;
  const address = await startRawEngine(t, request => {
    if (isCancel(request) || isResume(request)) {
      request.socket.end('HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n');
      return;
    }
    sendPart(request, idOf(request), 0, cut);
    request.socket.write('0\r\n\r\n');
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  assert.match(await fetchStreamText(entry), /\n\nevent: error\n/);
});

test('a connection that stalls during a stream is replaced by a new one', async t => {
  const address = await startRawEngine(t, request => {
    const id = idOf(request);
    const offset = offsetOf(request);
    const part = isResume(request) ? FULL_STREAM.slice(offset) : EVENTS[0];
    sendPart(request, id, offset, part ?? '');
    if (isResume(request)) request.socket.write('0\r\n\r\n');
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  assert.equal(await fetchStreamText(entry), FULL_STREAM);
  await assertNoRequestsLeft(entry);
});

test('a connection that stalls before the first byte is replaced by a new one', async t => {
  const ids: string[] = [];
  const address = await startRawEngine(t, request => {
    ids.push(idOf(request));
    if (!isResume(request)) return;
    sendPart(request, idOf(request), 0, FULL_STREAM);
    request.socket.write('0\r\n\r\n');
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  assert.equal(await fetchStreamText(entry), FULL_STREAM);
  assert.equal(new Set(ids).size, 1);
});

test('idle connections that stopped responding are not used to resume', async t => {
  // Simulates a network device that loses the state of every connection open
  // when the third call starts; connections opened later work.
  const forgotten = new Set<unknown>();
  const known = new Set<unknown>();
  let calls = 0;
  const address = await startRawEngine(t, request => {
    if (forgotten.has(request.socket)) return;
    known.add(request.socket);
    const id = idOf(request);
    if (!isResume(request)) {
      calls += 1;
      if (calls === 3) {
        known.forEach(socket => forgotten.add(socket));
        return;
      }
    }
    const send = (): void => {
      sendPart(request, id, offsetOf(request), FULL_STREAM);
      request.socket.write('0\r\n\r\n');
    };
    // The first two calls overlap, so that two connections become idle.
    setTimeout(send, 30);
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  assert.deepEqual(
    await Promise.all([fetchStreamText(entry), fetchStreamText(entry)]),
    [FULL_STREAM, FULL_STREAM],
  );
  assert.equal(await fetchStreamText(entry), FULL_STREAM);
});

test('an upstream that dies before the first byte is replaced by another one', async t => {
  const {engine, address} = await startEngine(t);
  const dead = await refusingAddress();
  const entry = await startEntry(t, {
    engines: [dead, address],
    policy: POLICY,
  });
  const answers = await Promise.all(
    Array.from({length: 6}, () => fetchStreamText(entry)),
  );
  assert.ok(answers.every(text => text.endsWith('data: [DONE]\n\n')));
  assert.equal(engine.state.executions.length, 6);
  await assertNoRequestsLeft(entry);
});

test('retries after connections that break before the first byte stay within the budget', async t => {
  let calls = 0;
  const address = await startRawEngine(t, request => {
    if (request.line.startsWith('POST ')) calls += 1;
    request.socket.destroy();
  });
  const engines = [address, address, address];
  const entry = await startEntry(t, {engines, policy: POLICY});
  for (let count = 0; count < 10; count += 1) {
    const answer = await complete(entry, {
      stream: true,
      messages: [{role: 'user', content: `call ${count}`}],
    });
    assert.ok(answer.status >= 500, String(answer.status));
    await answer.text();
  }
  // 10 first attempts, 3 initial retry tokens and 0.1 token for each attempt.
  assert.ok(calls <= 14, `${calls} calls`);
  await assertNoRequestsLeft(entry);
});

test('an unstreamed answer that breaks off is not relayed but retried on another upstream', async t => {
  const {address} = await startEngine(t);
  let brokenCount = 0;
  const breaking = await startRawEngine(t, request => {
    if (isCancel(request)) return;
    brokenCount += 1;
    request.socket.end(
      'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 1000\r\n\r\n{"partial":',
    );
  });
  const entry = await startEntry(t, {
    engines: [breaking, address],
    policy: POLICY,
  });
  for (let count = 0; count < 4; count += 1) {
    const answer = await complete(entry, {prompt: undefined});
    assert.equal(answer.status, 200);
    assert.match(JSON.stringify(await answer.json()), /chat\.completion/);
  }
  assert.ok(brokenCount > 0);
});

test('an unstreamed answer that breaks off at the only upstream is not reported as not run', async t => {
  const address = await startRawEngine(t, request => {
    if (isCancel(request)) return;
    request.socket.end(
      'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{"par\r\n',
    );
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  const answer = await complete(entry);
  assert.ok(answer.status >= 500);
  assert.notEqual(answer.headers.get('x-cyclamenfall-work'), 'not_run');
  assert.ok(!(await answer.text()).includes('"par'));
  await assertNoRequestsLeft(entry);
});

test('an unstreamed answer without content-length or chunked encoding is not relayed', async t => {
  const address = await startRawEngine(t, request => {
    if (isCancel(request)) return;
    request.socket.end(
      'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{"partial":',
    );
  });
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  const answer = await complete(entry);
  assert.ok(answer.status >= 500);
  assert.ok(!(await answer.text()).includes('"partial"'));
});

test('a request that the engine finds invalid is answered 400 and does not eject the engine', async t => {
  let calls = 0;
  const address = await startRawEngine(t, request => {
    if (request.line.startsWith('POST ')) calls += 1;
    request.socket.write(
      'HTTP/1.1 400 Bad Request\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}',
    );
  });
  const entry = await startEntry(t, {
    engines: [address, address],
    policy: POLICY,
  });
  for (let count = 0; count < 8; count += 1) {
    const answer = await complete(entry);
    assert.equal(answer.status, 400);
    await answer.text();
  }
  assert.equal(calls, 8);
});

test('calls that miss a short deadline of the caller get 504 and do not eject the engine', async t => {
  const {address} = await startEngine(t, {prefillMs: 100});
  const entry = await startEntry(t, {engines: [address], policy: POLICY});
  for (let count = 0; count < 5; count += 1) {
    const answer = await complete(
      entry,
      {},
      {headers: {'x-deadline-ms': '30'}},
    );
    assert.equal(answer.status, 504);
    await answer.text();
  }
  assert.equal((await complete(entry)).status, 200);
  await sleep(0);
  await assertNoRequestsLeft(entry);
});
