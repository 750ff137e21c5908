/** Connections to upstreams and to other entries, one pool for each address. */
import {buildConnector, Pool} from 'undici';
import {monotonicNowMs} from '../clock/clock.js';
import {CONNECT_TIMEOUT_MS} from './exchange.js';

/** Peers close idle connections sooner or later; a reset then costs a try. */
const IDLE_CONNECTION_MS = 4_000;
/** A pool without requests for so long belongs to an address that is gone. */
const IDLE_POOL_MS = 30_000;
const SWEEP_MS = 5_000;

interface HeldPool {
  readonly pool: Pool;
  usedAtMs: number;
}

const connectPlain = buildConnector({timeout: CONNECT_TIMEOUT_MS});
const RESET_CODE = 'ECONNRESET';
const REPORTED_RESET_CODE = 'ERR_ANSWER_RESET';

/**
 * Connects so that a reset always counts as an error. The client library takes
 * a reset for the proper end of an answer that has no length, although the
 * rest of the answer may be missing; it goes by the code of the error.
 */
const connectReportingResets: buildConnector.connector = (options, callback) =>
  connectPlain(options, (...result) => {
    const [error, socket] = result;
    if (error !== null) {
      callback(error, null);
      return;
    }
    socket.prependListener('error', (cause: NodeJS.ErrnoException) => {
      if (cause.code === RESET_CODE) cause.code = REPORTED_RESET_CODE;
    });
    callback(null, socket);
  });

/** The pools of one process. */
export class Connections {
  private readonly held = new Map<string, HeldPool>();
  private readonly sweepTimer = setInterval(() => this.sweep(), SWEEP_MS);

  constructor() {
    this.sweepTimer.unref();
  }

  /** `key` tells apart peers that use the same address one after the other. */
  pool(address: string, key = ''): Pool {
    const name = `${address} ${key}`;
    const known = this.held.get(name);
    const nowMs = monotonicNowMs();
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known.pool;
    }
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      connect: connectReportingResets,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: IDLE_CONNECTION_MS,
      keepAliveTimeoutThreshold: 1_000,
      maxHeaderSize: 65_536,
    });
    this.held.set(name, {pool, usedAtMs: nowMs});
    return pool;
  }

  /** Later requests open new connections; those under way go on. */
  renew(address: string, key = ''): void {
    const name = `${address} ${key}`;
    const known = this.held.get(name);
    if (known === undefined) return;
    this.held.delete(name);
    void known.pool.close().catch(() => undefined);
  }

  async close(): Promise<void> {
    clearInterval(this.sweepTimer);
    await Promise.all([...this.held.values()].map(each => each.pool.destroy()));
  }

  private sweep(): void {
    const nowMs = monotonicNowMs();
    [...this.held]
      .filter(([, each]) => nowMs - each.usedAtMs > IDLE_POOL_MS)
      .filter(([, each]) => each.pool.stats.running === 0)
      .forEach(([name, each]) => {
        this.held.delete(name);
        void each.pool.close().catch(() => undefined);
      });
  }
}
