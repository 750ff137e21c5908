import assert from 'node:assert/strict';
import {createServer, type RequestListener} from 'node:http';
import {test, type TestContext} from 'node:test';
import {listen} from '../../http/server.js';
import {probeLiveness} from '../../http/liveness.js';
import {asId, type UpstreamId} from '../../types/ids.js';
import {ResponseEndCheck, type EndedResponse} from '../response_end_check.js';
import type {Liveness} from '../upstream_feed.js';

const UPSTREAM = asId<UpstreamId>('u1');
const ENDED: EndedResponse = {
  upstreamId: UPSTREAM,
  address: '127.0.0.1:1',
  isStream: true,
  isLeaving: false,
};

function checkOf(found: Liveness, ended: Partial<EndedResponse> = {}) {
  const check = new ResponseEndCheck(() => Promise.resolve(found));
  return check.check({...ENDED, ...ended});
}

// Guards against responses that a crash cut and that pass for complete, and
// against complete ones that are given up.
test('a response is complete if its own upstream lives on', async () => {
  const other = asId<UpstreamId>('u2');
  assert.deepEqual(
    await Promise.all([
      checkOf({kind: 'alive', upstreamId: UPSTREAM}),
      checkOf({kind: 'alive', upstreamId: undefined}),
      checkOf({kind: 'alive', upstreamId: other}),
      checkOf({kind: 'refused'}),
      checkOf({kind: 'unknown'}),
    ]),
    ['complete', 'complete', 'broken_off', 'broken_off', 'unknown'],
  );
});

// Guards against a ready answer that is dropped because the upstream has ended as
// planned right after it.
test('a leaving upstream that is gone leaves the end unknown', async () => {
  assert.equal(await checkOf({kind: 'refused'}, {isLeaving: true}), 'unknown');
});

// Guards against streams that run again because a busy upstream does not answer
// the check, and against a short silence that is taken for life.
test('a silent upstream counts as alive for streams only', async () => {
  assert.deepEqual(
    await Promise.all([
      checkOf({kind: 'silent'}),
      checkOf({kind: 'silent'}, {isStream: false}),
    ]),
    ['complete', 'unknown'],
  );
});

async function probe(t: TestContext, respond: RequestListener) {
  const server = createServer(respond);
  const address = await listen(server, '127.0.0.1:0');
  t.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return probeLiveness({address, path: '/health', timeoutMs: 200});
}

// Guards against a process that is gone and counts as alive, or the reverse.
test('a probe tells what became of a process', async t => {
  const busy = await probe(t, () => undefined);
  const failing = await probe(t, (_request, response) => {
    response.writeHead(503).end();
  });
  const closing = await probe(t, request => request.socket.destroy());
  const gone = await probeLiveness({
    address: '127.0.0.1:1',
    path: '/health',
    timeoutMs: 200,
  });
  assert.deepEqual(
    [busy, failing, closing, gone].map(({kind}) => kind),
    ['silent', 'alive', 'unknown', 'refused'],
  );
});
