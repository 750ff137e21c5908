/** One HTTP exchange with an upstream or another entry. */
import type {IncomingHttpHeaders} from 'node:http';
import {Result} from 'neverthrow';
import type {Dispatcher} from 'undici';
import {toGatewayError} from '../types/errors.js';
import type {Connection, ConnectionPool} from './connection_pool.js';
import {CONNECT_TIMEOUT_MS, type ConnectionPools} from './connections.js';

/** A peer that sends more interim (1xx) responses is considered faulty. */
const MAX_INTERIM_RESPONSES = 16;

export interface ExchangeRequest {
  /**
   * The attempt that the peer's answer names, '' if it has no id. Left out if the
   * peer never sends a second answer to a request.
   */
  readonly attemptId?: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Receives a response as it arrives; throws to abort the exchange. */
export interface ResponseSink {
  onHead(status: number, headers: IncomingHttpHeaders): void;
  /** Returns false to pause the response until `resume` is called. */
  onData(chunk: Buffer, resume: () => void): boolean;
}

/** Thrown by a sink for a response that belongs to another request. */
export class ExtraAnswerError extends Error {
  override readonly name = 'ExtraAnswerError';
}

/** How an exchange ended. */
export type ExchangeEnd =
  /** The complete response arrived. */
  | {readonly kind: 'complete'}
  /** Nothing was written: the peer cannot have received the request. */
  | {readonly kind: 'not_sent'; readonly cause: string}
  /** The exchange failed after the request was, or may have been, written. */
  | {readonly kind: 'broken'; readonly cause: string}
  /** The signal was aborted. */
  | {readonly kind: 'aborted'; readonly isSent: boolean};

/** The peer of an exchange. */
export interface ExchangePeer {
  /** `host:port`. */
  readonly address: string;
  /** Distinguishes peers that use the same address in succession. */
  readonly key?: string;
}

/**
 * Sends a request to a peer. An address that cannot be used, as one that another
 * program wrote to a list, ends the exchange as not sent.
 */
export function exchangeWith(
  connections: Pick<ConnectionPools, 'pool'>,
  {address, key}: ExchangePeer,
  request: ExchangeRequest,
  sink: ResponseSink,
  signal: AbortSignal,
): Promise<ExchangeEnd> {
  const pool = Result.fromThrowable(
    () => connections.pool(address, key),
    thrown => toGatewayError(thrown, 'exchange.connect', address),
  )();
  if (pool.isOk()) return exchange(pool.value, request, sink, signal);
  const cause = `unusable address: ${pool.error.message}`;
  return Promise.resolve({kind: 'not_sent', cause});
}

/** Sends a request; aborting the signal closes its connection. */
export function exchange(
  pool: Pick<ConnectionPool, 'take'>,
  request: ExchangeRequest,
  sink: ResponseSink,
  signal: AbortSignal,
): Promise<ExchangeEnd> {
  return new Promise(resolve => {
    const {attemptId, method, path, headers, body} = request;
    const hasBody = body.length > 0;
    const connection = pool.take(attemptId);
    const handler = new ExchangeHandler(sink, signal, connection, resolve);
    connection.dispatch(
      {
        method: method as Dispatcher.HttpMethod,
        path,
        headers: [...headers],
        body: hasBody ? body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      handler,
    );
  });
}

class ExchangeHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private isSent = false;
  private isEnded = false;
  private interimResponses = 0;
  private status = 0;
  private hadExtraAnswer = false;
  private readonly connectTimer: ReturnType<typeof setTimeout>;

  constructor(
    private readonly sink: ResponseSink,
    private readonly signal: AbortSignal,
    private readonly connection: Pick<Connection, 'release'>,
    private readonly resolve: (end: ExchangeEnd) => void,
  ) {
    this.connectTimer = setTimeout(
      () => this.end({kind: 'not_sent', cause: 'connection timed out'}),
      CONNECT_TIMEOUT_MS,
    );
    signal.addEventListener('abort', this.onAbort, {once: true});
    if (signal.aborted) this.onAbort();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    clearTimeout(this.connectTimer);
    this.controller = controller;
    // Nothing has been written at this point, so the peer never sees an
    // exchange that was aborted in the meantime.
    if (this.isEnded) controller.abort(new Error('aborted before sending'));
    else this.isSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.isEnded) return;
    if (statusCode < 200) {
      this.runOrAbort(controller, () => this.countInterimResponse());
      return;
    }
    this.status = statusCode;
    this.runOrAbort(controller, () => this.sink.onHead(statusCode, headers));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.isEnded) return;
    this.runOrAbort(controller, () => {
      const canContinue = this.sink.onData(chunk, () => controller.resume());
      if (!canContinue) controller.pause();
    });
  }

  onResponseEnd(): void {
    this.end({kind: 'complete'});
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const cause = error.message;
    this.end(this.isSent ? {kind: 'broken', cause} : {kind: 'not_sent', cause});
  }

  private countInterimResponse(): void {
    this.interimResponses += 1;
    if (this.interimResponses > MAX_INTERIM_RESPONSES) {
      throw new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`);
    }
  }

  private readonly onAbort = (): void => {
    const {controller, isSent} = this;
    this.end({kind: 'aborted', isSent});
    controller?.abort(new Error('exchange aborted'));
  };

  // An error thrown by the sink ends the exchange and closes its connection.
  private runOrAbort(
    controller: Dispatcher.DispatchController,
    action: () => void,
  ): void {
    try {
      action();
    } catch (thrown) {
      const cause = thrown instanceof Error ? thrown.message : String(thrown);
      this.hadExtraAnswer = thrown instanceof ExtraAnswerError;
      this.end({kind: 'broken', cause});
      controller.abort(new Error(cause));
    }
  }

  private end(end: ExchangeEnd): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.connectTimer);
    this.signal.removeEventListener('abort', this.onAbort);
    const {status, hadExtraAnswer} = this;
    const isReusable = end.kind === 'complete';
    this.connection.release({isReusable, status, hadExtraAnswer});
    this.resolve(end);
  }
}
