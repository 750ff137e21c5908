import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {Rehearsal} from '../rehearsal.js';

// Guards against a rehearsal that goes on beside real requests, and one that
// never reaches the scheduler.
test('a rehearsal schedules requests until it is stopped', async () => {
  const rehearsal = new Rehearsal();
  rehearsal.start();
  await sleep(200);
  rehearsal.stop();
  const atStop = rehearsal.count;
  await sleep(100);
  assert.ok(atStop > 0);
  assert.equal(rehearsal.count, atStop);
});
