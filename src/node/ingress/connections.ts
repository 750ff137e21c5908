/** Connection pools to upstreams and other entries, one for each address. */
import type {Socket} from 'node:net';
import {buildConnector, Pool} from 'undici';
import {monotonicNowMs} from '../clock/clock.js';
import {CONNECT_TIMEOUT_MS} from './exchange.js';

/** Idle connections are closed before the peer does: a reset costs a try. */
const IDLE_CONNECTION_MS = 4_000;
/** Ceiling on the idle time that a peer announces. */
const MAX_IDLE_CONNECTION_MS = 60_000;
/** A pool unused for this long most likely belongs to a removed address. */
const IDLE_POOL_MS = 30_000;
const SWEEP_INTERVAL_MS = 5_000;

interface TrackedPool {
  readonly pool: Pool;
  usedAtMs: number;
}

const connectPlain = buildConnector({timeout: CONNECT_TIMEOUT_MS});
const RESET_CODE = 'ECONNRESET';
const REPORTED_RESET_CODE = 'ERR_ANSWER_RESET';

/**
 * Connects and makes resets of the connection errors that the client library
 * reports. It recognizes a reset by its code and treats it as the regular end of a
 * response without a length, although the rest of the body may be missing; the
 * runtime reports one that comes right behind data as an orderly end.
 */
export const connectWithResetErrors: buildConnector.connector = (
  options,
  callback,
) =>
  connectPlain(options, (...result) => {
    const [error, socket] = result;
    if (error !== null) {
      callback(error, null);
      return;
    }
    socket.prependListener('error', (cause: NodeJS.ErrnoException) => {
      if (cause.code === RESET_CODE) cause.code = REPORTED_RESET_CODE;
    });
    reportResetsAtEnd(socket);
    callback(null, socket);
  });

// A connection that was reset has no peer any more; one that the peer has closed in
// an orderly way still has. `remoteAddress` asks the kernel when it is first read.
function reportResetsAtEnd(socket: Socket): void {
  const push = socket.push.bind(socket);
  socket.push = (chunk, encoding) => {
    const isReset = chunk === null && socket.remoteAddress === undefined;
    if (!isReset) return push(chunk, encoding);
    const cause = new Error('connection reset behind data');
    socket.destroy(Object.assign(cause, {code: REPORTED_RESET_CODE}));
    return false;
  };
}

/** The connection pools of one process. */
export class ConnectionPools {
  private readonly pools = new Map<string, TrackedPool>();
  private readonly sweepTimer = setInterval(
    () => this.closeIdlePools(),
    SWEEP_INTERVAL_MS,
  );

  /** `connect` opens the connections; tests replace it to cut them. */
  constructor(
    private readonly connect: buildConnector.connector = connectWithResetErrors,
  ) {
    this.sweepTimer.unref();
  }

  /** `key` distinguishes peers that use the same address in succession. */
  pool(address: string, key = ''): Pool {
    const name = `${address} ${key}`;
    const known = this.pools.get(name);
    const nowMs = monotonicNowMs();
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known.pool;
    }
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      connect: this.connect,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: MAX_IDLE_CONNECTION_MS,
      keepAliveTimeoutThreshold: 1_000,
      maxHeaderSize: 65_536,
    });
    this.pools.set(name, {pool, usedAtMs: nowMs});
    return pool;
  }

  /** Later requests open new connections; requests in flight are kept. */
  retire(address: string, key = ''): void {
    const name = `${address} ${key}`;
    const known = this.pools.get(name);
    if (known === undefined) return;
    this.pools.delete(name);
    void known.pool.close().catch(() => undefined);
  }

  async close(): Promise<void> {
    clearInterval(this.sweepTimer);
    await Promise.all(
      [...this.pools.values()].map(each => each.pool.destroy()),
    );
  }

  private closeIdlePools(): void {
    const nowMs = monotonicNowMs();
    [...this.pools]
      .filter(([, each]) => nowMs - each.usedAtMs > IDLE_POOL_MS)
      .filter(([, each]) => each.pool.stats.running === 0)
      .forEach(([name, each]) => {
        this.pools.delete(name);
        void each.pool.close().catch(() => undefined);
      });
  }
}
