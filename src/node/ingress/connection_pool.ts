/**
 * The connections to one peer. An attempt is never written twice on a connection:
 * a copy of its first answer has its id too, so nothing would distinguish the copy
 * from the answer to the second request.
 */
import {Client, type Dispatcher} from 'undici';
import {boundedKey} from '../bounded_key.js';
import {monotonicNowMs} from '../clock/clock.js';

/** Bounds the memory for attempt ids; the connection is then closed. */
const MAX_ATTEMPTS_PER_CONNECTION = 1_000;

/** How long an upstream that has sent an extra answer is expected to send more. */
const EXTRA_ANSWERS_MS = 300_000;
/** Statuses from here on are refusals and failures. */
const FIRST_ERROR_STATUS = 400;

/** How the use of a connection for one request has ended. */
export interface ConnectionUse {
  /** Whether its response was read to the end, so that another may follow. */
  readonly isReusable: boolean;
  /** Status of the response; 0 if there was none. */
  readonly status: number;
  /** Whether the peer sent an answer to another request. */
  readonly hadExtraAnswer: boolean;
}

/** A connection that is in use for one request. */
export interface Connection {
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void;
  /** Ends the use; what is not reusable is closed. */
  release(use: ConnectionUse): void;
}

/** Keeps the idle connections to one peer for reuse. */
export class ConnectionPool {
  usedAtMs = 0;
  private readonly open = new Set<PooledConnection>();
  /** In the order of their last use. */
  private idle: readonly PooledConnection[];
  private isClosed = false;
  private extraAnswersUntilMs = 0;

  /** Throws if no client can be made for this origin. */
  constructor(
    private readonly origin: string,
    private readonly options: Client.Options,
  ) {
    this.idle = [this.connect()];
  }

  get isInUse(): boolean {
    return this.open.size > this.idle.length;
  }

  /**
   * A connection that has not carried this attempt. A request whose attempt has no
   * id gets one of its own, and one without an attempt any.
   */
  take(attemptId: string | undefined): Connection {
    const reused = this.idle.findLast(each => each.mayCarry(attemptId));
    const connection = reused ?? this.connect();
    this.idle = this.idle.filter(each => each !== connection);
    connection.use(attemptId);
    return connection;
  }

  /** Closes idle connections, and each of the others when its request ends. */
  close(): void {
    this.isClosed = true;
    this.idle.forEach(each => this.remove(each));
  }

  async destroy(): Promise<void> {
    this.close();
    await Promise.all([...this.open].map(each => each.destroy()));
  }

  // The client connects when it gets its first request.
  private connect(): PooledConnection {
    const client = new Client(this.origin, this.options);
    const connection = new PooledConnection(client, use =>
      this.takeBack(connection, use),
    );
    this.open.add(connection);
    client.on('disconnect', () => {
      connection.noteLost();
      if (this.idle.includes(connection)) this.remove(connection);
    });
    return connection;
  }

  private takeBack(connection: PooledConnection, use: ConnectionUse): void {
    if (use.hadExtraAnswer) this.expectExtraAnswers();
    const mayBeReused =
      use.isReusable && !connection.isSpent && !this.mayBringCopy(connection);
    if (mayBeReused && !this.isClosed) this.idle = [...this.idle, connection];
    else this.remove(connection);
  }

  private expectExtraAnswers(): void {
    this.extraAnswersUntilMs = monotonicNowMs() + EXTRA_ANSWERS_MS;
    this.idle
      .filter(each => this.mayBringCopy(each))
      .forEach(each => this.remove(each));
  }

  // Upstreams that are full accept few connections, so none is replaced without need.
  private mayBringCopy(connection: PooledConnection): boolean {
    const isExpected = monotonicNowMs() < this.extraAnswersUntilMs;
    return isExpected && connection.hasCarriedError;
  }

  private remove(connection: PooledConnection): void {
    this.open.delete(connection);
    this.idle = this.idle.filter(each => each !== connection);
    void connection.destroy();
  }
}

class PooledConnection implements Connection {
  private readonly attemptIds = new Set<string>();
  private isLost = false;
  /** Whether it has carried a refusal or a failure. */
  hasCarriedError = false;

  constructor(
    private readonly client: Client,
    private readonly onRelease: (use: ConnectionUse) => void,
  ) {}

  mayCarry(attemptId: string | undefined): boolean {
    if (attemptId === undefined) return true;
    return attemptId !== '' && !this.attemptIds.has(boundedKey(attemptId));
  }

  use(attemptId: string | undefined): void {
    if (attemptId !== undefined) this.attemptIds.add(boundedKey(attemptId));
  }

  noteLost(): void {
    this.isLost = true;
  }

  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    this.client.dispatch(options, handler);
  }

  // One turn later: the client is still reading, and a peer that closes the
  // connection behind its response is noticed.
  release(use: ConnectionUse): void {
    if (use.status >= FIRST_ERROR_STATUS) this.hasCarriedError = true;
    setImmediate(() => this.onRelease(use));
  }

  async destroy(): Promise<void> {
    await this.client.destroy().catch(() => undefined);
  }

  get isSpent(): boolean {
    const {attemptIds, isLost} = this;
    const isFull = attemptIds.size >= MAX_ATTEMPTS_PER_CONNECTION;
    return isLost || isFull || attemptIds.has('');
  }
}
