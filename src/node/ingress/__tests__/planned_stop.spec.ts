import assert from 'node:assert/strict';
import {test} from 'node:test';
import {advanceClock} from '../../__tests__/support/advance_clock.js';
import {pauseClock} from '../../__tests__/support/clock.js';
import {monotonicNowMs} from '../../clock/clock.js';
import type {Route} from '../../routes/route_table.js';
import {PlannedStop} from '../planned_stop.js';
import type {InboundRequest} from '../types.js';

const STREAM = {name: 'chat', kind: 'stream', timeoutMs: 10_000};
const PLAIN = {name: 'order', kind: 'at_most_once', timeoutMs: 4_000};

function routeOf(fields: typeof STREAM): Route {
  return fields as unknown as Route;
}

function answered(route: typeof STREAM, durationMs: number): InboundRequest {
  const receivedAtMs = monotonicNowMs() - durationMs;
  return {route: routeOf(route), receivedAtMs} as unknown as InboundRequest;
}

// Guards against requests that a stopping entry takes and cannot end, and against
// refusals of those that it can.
test('a stop takes what is likely to end in time', async context => {
  pauseClock(context);
  const stop = new PlannedStop(8_000);
  stop.noteAnswered(answered(STREAM, 5_000));
  stop.noteAnswered(answered(PLAIN, 400));
  const isTaken = (): readonly boolean[] =>
    [STREAM, PLAIN].map(route => !stop.isTooLateFor(routeOf(route)));
  const before = isTaken();
  stop.begin();
  const taken: (readonly boolean[])[] = [];
  for (const stepMs of [2_000, 900, 200, 3_200, 600]) {
    await advanceClock(context, stepMs, 100);
    taken.push(isTaken());
  }
  assert.deepEqual(before, [true, true]);
  assert.deepEqual(taken, [
    [true, true],
    [false, true],
    [false, true],
    [false, true],
    [false, false],
  ]);
});

// Guards against an entry without any request so far that takes all of them.
test('without recent requests the time limit of the route has to fit', context => {
  pauseClock(context);
  const stop = new PlannedStop(8_000);
  stop.begin();
  assert.equal(stop.isTooLateFor(routeOf(STREAM)), true);
  assert.equal(stop.isTooLateFor(routeOf(PLAIN)), false);
});
