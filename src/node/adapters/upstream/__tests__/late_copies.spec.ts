import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  formatAnswer,
  headerOf,
  startRepeatingServer,
  type CopyTiming,
} from '../../../__tests__/support/late_copies.js';
import {monotonicNowMs} from '../../../clock/clock.js';
import {asId, type UpstreamId} from '../../../types/ids.js';
import {PlainHttpUpstream} from '../plain_http.js';
import type {DispatchOutcome} from '../plain_service.js';

const TIMINGS: readonly CopyTiming[] = ['with_answer', 'with_next_request'];
const METHODS = ['GET', 'POST'] as const;
const FIRST_ANSWERS: Readonly<Record<string, string>> = {
  answer: formatAnswer(200, 'own first'),
  refusal: formatAnswer(503, '', {'x-not-run': '1'}),
  failure: formatAnswer(500, ''),
};

function describe(outcome: DispatchOutcome): string {
  if (outcome.kind !== 'answered') return outcome.kind;
  const {status, body} = outcome.answer;
  return `${status} ${Buffer.from(body ?? []).toString()}`;
}

// Guards against a caller that gets the answer to another call, or is told that a
// call has not run which the service runs.
test('no copy of an answer becomes the answer to another call', async t => {
  const cases = TIMINGS.flatMap(timing =>
    METHODS.flatMap(method =>
      Object.entries(FIRST_ANSWERS).map(([name, answer]) => ({
        timing,
        method,
        name,
        answer,
      })),
    ),
  );
  const got = await Promise.all(
    cases.map(async ({timing, method, name, answer}) => {
      const {address, requests} = await startRepeatingServer(t, {
        timing,
        answerTo: head =>
          headerOf(head, 'x-request-id') === 'first'
            ? answer
            : formatAnswer(200, 'own second'),
      });
      const upstream = new PlainHttpUpstream();
      t.after(() => upstream.close());
      const send = (requestId: string): Promise<DispatchOutcome> =>
        upstream.dispatch(
          {upstreamId: asId<UpstreamId>('booking-1'), address},
          {
            method,
            path: '/bookings',
            headers: {'x-request-id': requestId},
            body: Buffer.from(method === 'POST' ? 'a sitting' : ''),
          },
          monotonicNowMs() + 5_000,
        );
      await send('first');
      await new Promise(resolve => setTimeout(resolve, 20));
      const second = await send('second');
      return [timing, method, name, describe(second), requests.length];
    }),
  );
  assert.deepEqual(
    got,
    cases.map(({timing, method, name}) => [
      timing,
      method,
      name,
      '200 own second',
      2,
    ]),
  );
});
