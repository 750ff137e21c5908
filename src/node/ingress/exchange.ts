/** One request on one connection to an upstream or to another entry. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher, Pool} from 'undici';

/** Longest time to get a connection on which the request can be written. */
export const CONNECT_TIMEOUT_MS = 800;

/** More heads without an answer are no sign of one. */
const MAX_INTERIM_HEADS = 16;

export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Receives an answer as it arrives. */
export interface AnswerSink {
  onHead(status: number, headers: IncomingHttpHeaders): void;
  /** Returns false to pause the answer until `resume` is called. */
  onData(chunk: Buffer, resume: () => void): boolean;
}

/** How an exchange ended. */
export type ExchangeEnd =
  /** The whole answer arrived. */
  | {readonly kind: 'complete'}
  /** Nothing was written: the peer cannot have seen the request. */
  | {readonly kind: 'not_sent'; readonly cause: string}
  /** The connection ended after the request was, or may have been, written. */
  | {readonly kind: 'broken'; readonly cause: string}
  /** The signal ended it. */
  | {readonly kind: 'aborted'; readonly isSent: boolean};

/** Sends a request; aborting the signal closes its connection. */
export function exchange(
  pool: Pool,
  request: ExchangeRequest,
  sink: AnswerSink,
  signal: AbortSignal,
): Promise<ExchangeEnd> {
  return new Promise(resolve => {
    const handler = new ExchangeHandler(sink, signal, resolve);
    const {method, path, headers, body} = request;
    const hasBody = body.length > 0;
    pool.dispatch(
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
  private interimHeads = 0;
  private readonly connectTimer: ReturnType<typeof setTimeout>;

  constructor(
    private readonly sink: AnswerSink,
    private readonly signal: AbortSignal,
    private readonly resolve: (end: ExchangeEnd) => void,
  ) {
    this.connectTimer = setTimeout(
      () => this.end({kind: 'not_sent', cause: 'no connection in time'}),
      CONNECT_TIMEOUT_MS,
    );
    signal.addEventListener('abort', this.onAbort, {once: true});
    if (signal.aborted) this.onAbort();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    clearTimeout(this.connectTimer);
    this.controller = controller;
    // Nothing has been written at this point, so an exchange that was given
    // up in the meantime leaves no trace at the peer.
    if (this.isEnded) controller.abort(new Error('given up before sending'));
    else this.isSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.isEnded) return;
    if (statusCode < 200) {
      this.guard(controller, () => this.noteInterimHead());
      return;
    }
    this.guard(controller, () => this.sink.onHead(statusCode, headers));
  }

  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.isEnded) return;
    this.guard(controller, () => {
      const goesOn = this.sink.onData(chunk, () => controller.resume());
      if (!goesOn) controller.pause();
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

  private noteInterimHead(): void {
    this.interimHeads += 1;
    if (this.interimHeads > MAX_INTERIM_HEADS) {
      throw new Error(`over ${MAX_INTERIM_HEADS} interim heads`);
    }
  }

  private readonly onAbort = (): void => {
    const {controller, isSent} = this;
    this.end({kind: 'aborted', isSent});
    controller?.abort(new Error('given up'));
  };

  // A sink that refuses the answer ends the exchange and its connection.
  private guard(
    controller: Dispatcher.DispatchController,
    action: () => void,
  ): void {
    try {
      action();
    } catch (thrown) {
      const cause = thrown instanceof Error ? thrown.message : String(thrown);
      this.end({kind: 'broken', cause});
      controller.abort(new Error(cause));
    }
  }

  private end(end: ExchangeEnd): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.connectTimer);
    this.signal.removeEventListener('abort', this.onAbort);
    this.resolve(end);
  }
}
