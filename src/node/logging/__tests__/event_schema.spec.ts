import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {checkLogLine, LOG_EVENTS} from '../event_schema.js';

const PAGE = new URL('../../../../docs/OPERATIONS.md', import.meta.url);
const LINE = {time: 1, instance: 'e1'};

// Guards against events that the operations page does not document.
test('the operations page lists every event', () => {
  const page = readFileSync(PAGE, 'utf8');
  const missing = LOG_EVENTS.filter(event => !page.includes(`\`${event}\``));
  assert.deepEqual(missing, []);
});

// Guards against a schema check that accepts invalid lines.
test('unknown events, missing fields and wrong types are reported', () => {
  const problems = [
    {...LINE, event: 'list_lost', domain: 'north-a', err: 'left open'},
    {...LINE, event: 'list_lost'},
    {...LINE, event: 'list_lost', domain: 7},
    {...LINE, event: 'list_mislaid'},
    {...LINE, instance: undefined, event: 'started'},
    'no object',
  ].map(line => checkLogLine(line).length);
  assert.deepEqual(problems, [0, 1, 1, 1, 1, 1]);
});
