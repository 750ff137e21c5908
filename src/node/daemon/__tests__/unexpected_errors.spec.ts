import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import {pino} from 'pino';
import {handleUnexpectedErrors} from '../unexpected_errors.js';

// Guards against one failed task that ends a process with all its requests.
test('a rejected task is logged, an exception leads to a planned stop', () => {
  const events: string[] = [];
  const logger = pino(
    {level: 'info'},
    {
      write: (line: string) =>
        events.push((JSON.parse(line) as {event: string}).event),
    },
  );
  const process = new EventEmitter();
  handleUnexpectedErrors(process, logger, () => events.push('stop'));
  process.emit('unhandledRejection', new TypeError('Invalid URL'));
  process.emit('uncaughtException', new TypeError('Invalid URL'));
  assert.deepEqual(events, [
    'unhandled_rejection',
    'uncaught_exception',
    'stop',
  ]);
});
