/**
 * The interface between the gateway and model engines. Support for another
 * protocol is one folder with an implementation of `ModelUpstream`.
 */
import type {Readable} from 'node:stream';
import type {
  FencingToken,
  ModelId,
  RequestId,
  UpstreamId,
} from '../../types/ids.js';

/** One call of a model, as it is sent to an engine. */
export interface ModelCall {
  readonly requestId: RequestId;
  /** `/v1/chat/completions` or `/v1/completions`. */
  readonly path: string;
  readonly body: Buffer;
  /** Smaller is more urgent. */
  readonly priority: number;
  readonly remainingMs: number;
  readonly signal: AbortSignal;
}

/** An engine's answer; its body is a stream that has not been read yet. */
export interface ModelAnswer {
  readonly status: number;
  readonly contentType: string;
  /** The position of the first byte of `body` in the whole answer. */
  readonly offsetBytes: number;
  readonly body: Readable;
}

/** The load report of an engine. */
export interface UpstreamLoad {
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly slotCount: number;
  readonly loadedModelIds: readonly ModelId[];
  readonly leaving: boolean;
  readonly cacheSequence: number;
}

/** A load or unload order to an engine, with the sender's fencing token. */
export interface UpstreamOrder {
  readonly kind: 'load' | 'unload';
  readonly modelId: ModelId;
  readonly fencingToken: FencingToken;
  readonly holder: string;
}

/** The address and id of one engine. */
export interface UpstreamPeer {
  readonly upstreamId: UpstreamId;
  /** `host:port`. */
  readonly address: string;
}

/** A client for one model engine protocol. */
export abstract class ModelUpstream {
  /**
   * Sends a call and resolves when the answer's head has arrived. Rejects with
   * a `GatewayError`: `upstream_refused` and `work: not_run` if the engine
   * refused before it ran anything, otherwise `work: unknown`.
   */
  abstract open(peer: UpstreamPeer, call: ModelCall): Promise<ModelAnswer>;
  /** Resumes an interrupted answer from a byte offset on a new connection. */
  abstract resume(
    peer: UpstreamPeer,
    requestId: RequestId,
    offsetBytes: number,
    signal: AbortSignal,
  ): Promise<ModelAnswer>;
  /** Tells the engine to cancel a request whose answer is no longer needed. */
  abstract cancel(peer: UpstreamPeer, requestId: RequestId): Promise<void>;
  abstract readLoad(peer: UpstreamPeer): Promise<UpstreamLoad>;
  /** Sends an order; resolves with whether the engine accepted it. */
  abstract order(peer: UpstreamPeer, order: UpstreamOrder): Promise<boolean>;
  /** Closes connections. */
  abstract close(): Promise<void>;
}
