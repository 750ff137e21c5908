/** Connections to other processes that carry one exchange each. */
import {Agent} from 'undici';
import {createConnector} from './connector.js';

/**
 * An agent that opens a connection for each request and closes it behind the
 * answer. Peers may send a second copy of an answer late, and without an id in
 * each answer the copy can't be told from the next one on the same connection.
 * The library's header and body timeouts are off: callers pass a signal.
 */
export function createSingleUseAgent(connectTimeoutMs: number): Agent {
  return new Agent({
    pipelining: 0,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: createConnector(connectTimeoutMs),
  });
}
