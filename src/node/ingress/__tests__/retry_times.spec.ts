import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CallerResponse} from '../caller_response.js';
import {sendFinalResponse} from '../error_responses.js';
import type {HeaderPair} from '../protocol.js';
import type {InboundRequest} from '../types.js';

const TRIES = {runs: 0, wasAtUpstream: true};

function retryAfterS(retryAfterMs: number): number {
  const sent: HeaderPair[] = [];
  const response = {
    isBegun: false,
    sendComplete: (_status: number, headers: readonly HeaderPair[]) =>
      sent.push(...headers),
  } as unknown as CallerResponse;
  const request = {isRelayed: false} as InboundRequest;
  const result = {kind: 'not_run', cause: 'status 503', retryAfterMs} as const;
  sendFinalResponse(result, response, TRIES, request);
  return Number(new Map(sent).get('retry-after'));
}

// Guards against callers that are told to come back at once after a rejection by
// an upstream, and against a time that another entry named and that is lost.
test('a rejected request names a time to come back', () => {
  const withoutTime = retryAfterS(0);
  assert.ok(withoutTime >= 0.3 && withoutTime <= 0.39, `${withoutTime}`);
  const named = retryAfterS(2_000);
  assert.ok(named >= 2 && named <= 2.6, `${named}`);
});
