/** Connection pools to upstreams and other entries, one for each address. */
import type {buildConnector} from 'undici';
import {monotonicNowMs} from '../clock/clock.js';
import {createConnector} from '../http/connector.js';
import {ConnectionPool} from './connection_pool.js';

/** Time limit to obtain a connection on which the request can be written. */
export const CONNECT_TIMEOUT_MS = 800;

/** Idle connections are closed before the peer does: a reset costs a try. */
const IDLE_CONNECTION_MS = 4_000;
/** Ceiling on the idle time that a peer announces. */
const MAX_IDLE_CONNECTION_MS = 60_000;
/** A pool unused for this long most likely belongs to a removed address. */
const IDLE_POOL_MS = 30_000;
const SWEEP_INTERVAL_MS = 5_000;

/** The connection pools of one process. */
export class ConnectionPools {
  private readonly pools = new Map<string, ConnectionPool>();
  private isClosed = false;
  private readonly sweepTimer = setInterval(
    () => this.closeIdlePools(),
    SWEEP_INTERVAL_MS,
  );

  /** `connect` opens the connections; tests replace it to cut them. */
  constructor(
    private readonly connect: buildConnector.connector = createConnector(
      CONNECT_TIMEOUT_MS,
    ),
  ) {
    this.sweepTimer.unref();
  }

  /**
   * `key` distinguishes peers that use the same address in succession. Throws after
   * `close`, as a try that was cut could otherwise be sent again.
   */
  pool(address: string, key = ''): ConnectionPool {
    if (this.isClosed) throw new Error('the connections are closed');
    const name = `${address} ${key}`;
    const pool = this.pools.get(name) ?? this.createPool(address);
    pool.usedAtMs = monotonicNowMs();
    this.pools.set(name, pool);
    return pool;
  }

  /** Later requests open new connections; requests in flight are kept. */
  retire(address: string, key = ''): void {
    const name = `${address} ${key}`;
    this.pools.get(name)?.close();
    this.pools.delete(name);
  }

  async close(): Promise<void> {
    this.isClosed = true;
    clearInterval(this.sweepTimer);
    await Promise.all([...this.pools.values()].map(each => each.destroy()));
  }

  private createPool(address: string): ConnectionPool {
    return new ConnectionPool(`http://${address}`, {
      pipelining: 1,
      connect: this.connect,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      keepAliveMaxTimeout: MAX_IDLE_CONNECTION_MS,
      keepAliveTimeoutThreshold: 1_000,
      maxHeaderSize: 65_536,
    });
  }

  private closeIdlePools(): void {
    const nowMs = monotonicNowMs();
    [...this.pools]
      .filter(([, each]) => nowMs - each.usedAtMs > IDLE_POOL_MS)
      .filter(([, each]) => !each.isInUse)
      .forEach(([name, each]) => {
        this.pools.delete(name);
        each.close();
      });
  }
}
