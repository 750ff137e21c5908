import assert from 'node:assert/strict';
import {text} from 'node:stream/consumers';
import {test, type TestContext} from 'node:test';
import {
  formatAnswer,
  headerOf,
  startRepeatingServer,
  type CopyTiming,
} from '../../../../__tests__/support/late_copies.js';
import {GatewayError} from '../../../../types/errors.js';
import {
  asId,
  type FencingToken,
  type ModelId,
  type RequestId,
  type UpstreamId,
} from '../../../../types/ids.js';
import type {UpstreamPeer} from '../../model_upstream.js';
import {OpenAiUpstream} from '../openai_upstream.js';

const TIMINGS: readonly CopyTiming[] = ['with_answer', 'with_next_request'];
const STREAM_TYPE = {'content-type': 'text/event-stream'};

/** How the engine answers the first request; it answers the second one soundly. */
const FIRST_ANSWERS: Readonly<Record<string, (requestId: string) => string>> = {
  'answer with its id': id => formatAnswer(200, id, {'x-request-id': id}),
  'answer without an id': id => formatAnswer(200, id),
  'stream without an id': id => formatAnswer(200, `data: ${id}`, STREAM_TYPE),
  'refusal with its id': id =>
    formatAnswer(503, '', {'x-not-run': '1', 'x-request-id': id}),
  'refusal without an id': () => formatAnswer(503, '', {'x-not-run': '1'}),
  'rejection as invalid': () => formatAnswer(422, ''),
  failure: () => formatAnswer(500, ''),
};

function createUpstream(t: TestContext): OpenAiUpstream {
  const upstream = new OpenAiUpstream();
  t.after(() => upstream.close());
  return upstream;
}

function peerAt(address: string): UpstreamPeer {
  return {upstreamId: asId<UpstreamId>('engine-1'), address};
}

/** What the caller of one request gets. */
async function open(
  upstream: OpenAiUpstream,
  peer: UpstreamPeer,
  requestId: string,
): Promise<string> {
  try {
    const answer = await upstream.open(peer, {
      requestId: asId<RequestId>(requestId),
      path: '/v1/chat/completions',
      body: Buffer.from('{}'),
      priority: 0,
      remainingMs: 5_000,
      signal: new AbortController().signal,
    });
    return await text(answer.body);
  } catch (thrown) {
    assert.ok(thrown instanceof GatewayError);
    return `${thrown.code} ${thrown.work}`;
  }
}

// Idle connections become free for the next request in a later turn.
const becomeIdle = (): Promise<unknown> =>
  new Promise(resolve => setTimeout(resolve, 20));

// Guards against a caller that gets the answer to another request, or is told
// that a request has not run which the engine runs.
test('no copy of an answer becomes the answer to another model call', async t => {
  const cases = TIMINGS.flatMap(timing =>
    Object.entries(FIRST_ANSWERS).map(([name, answer]) => ({
      timing,
      name,
      answer,
    })),
  );
  const got = await Promise.all(
    cases.map(async ({timing, name, answer}) => {
      const {address} = await startRepeatingServer(t, {
        timing,
        answerTo: head => {
          const id = headerOf(head, 'x-request-id');
          return id === 'first' ? answer(id) : formatAnswer(200, `own ${id}`);
        },
      });
      const upstream = createUpstream(t);
      await open(upstream, peerAt(address), 'first');
      await becomeIdle();
      const second = await open(upstream, peerAt(address), 'second');
      return [timing, name, second];
    }),
  );
  assert.deepEqual(
    got,
    cases.map(({timing, name}) => [timing, name, 'own second']),
  );
});

// Guards against a refusal that is taken for the one of another request.
test('an answer that names another request says nothing about this one', async t => {
  const statuses = [200, 422, 503];
  const got = await Promise.all(
    statuses.map(async status => {
      const headers = {'x-request-id': 'other'};
      const isRefusal = status === 503;
      const {address} = await startRepeatingServer(t, {
        timing: 'with_answer',
        answerTo: () =>
          formatAnswer(status, '', {
            ...headers,
            ...(isRefusal ? {'x-not-run': '1'} : {}),
          }),
      });
      return open(createUpstream(t), peerAt(address), 'first');
    }),
  );
  assert.deepEqual(
    got,
    statuses.map(() => 'upstream_failed unknown'),
  );
});

// Guards against an order that counts as accepted though the engine refused it.
test('no copy of an answer becomes the answer to an order', async t => {
  const got = await Promise.all(
    TIMINGS.map(async timing => {
      const {address} = await startRepeatingServer(t, {
        timing,
        answerTo: head =>
          head.startsWith('POST /orders')
            ? formatAnswer(409, '')
            : formatAnswer(200, 'answer'),
      });
      const upstream = createUpstream(t);
      await open(upstream, peerAt(address), 'first');
      await becomeIdle();
      return upstream.order(peerAt(address), {
        kind: 'load',
        modelId: asId<ModelId>('m'),
        fencingToken: 1 as unknown as FencingToken,
        holder: 'entry-1',
      });
    }),
  );
  assert.deepEqual(got, [false, false]);
});
