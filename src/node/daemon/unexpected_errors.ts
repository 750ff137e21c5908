/**
 * The last resort for errors that no code expected. By default they end the
 * process at once, with all requests that it handles, and end the next one too
 * if their cause stays.
 */
import type {EventEmitter} from 'node:events';
import type {Logger} from '../logging/logger.js';
import {toGatewayError} from '../types/errors.js';

/**
 * A rejected task concerns its own request or message alone: it is logged. After
 * an exception between tasks the state of the process is unknown: it stops as
 * planned, so that requests in flight end first.
 */
export function handleUnexpectedErrors(
  process: EventEmitter,
  logger: Logger,
  stop: () => void,
): void {
  process.on('unhandledRejection', (reason: unknown) => {
    const error = toGatewayError(reason, 'process.task', 'self');
    logger.error(
      {event: 'unhandled_rejection', err: error},
      'an asynchronous task failed unexpectedly; the others go on',
    );
  });
  process.on('uncaughtException', (thrown: unknown) => {
    const error = toGatewayError(thrown, 'process.task', 'self');
    logger.fatal(
      {event: 'uncaught_exception', err: error},
      'unexpected error; stopping as planned',
    );
    stop();
  });
}
