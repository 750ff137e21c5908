/**
 * Whether a crash has cut an upstream's response whose end only the end of its
 * connection marks. A process that crashes has its connections closed in the same
 * orderly way as one that has finished its response; only the latter lives on.
 */
import type {UpstreamId} from '../types/ids.js';
import type {Liveness} from './upstream_feed.js';

export type Completeness =
  /** As far as the upstream knows: it lives on. */
  | 'complete'
  /** The process that sent the response has ended with it. */
  | 'broken_off'
  /** The process cannot be reached, or may have ended as planned. */
  | 'unknown';

/** What is known of the upstream whose response has ended. */
export interface EndedResponse {
  readonly upstreamId: UpstreamId;
  /** `host:port`. */
  readonly address: string;
  readonly isStream: boolean;
  /** Whether the upstream has said that it is about to stop. */
  readonly isLeaving: boolean;
}

/**
 * A process that ends closes its listener and its connections at about the same
 * time, in any order.
 */
const SETTLE_MS = 20;
/** Nobody waits for the end of a stream, whose events are delivered. */
const STREAM_TIMEOUT_MS = 1_000;
/** The caller of a plain response waits for all of it. */
const PLAIN_TIMEOUT_MS = 150;

/** Checks the upstreams of responses without a length or chunks. */
export class ResponseEndCheck<Ended extends EndedResponse> {
  /** `probe` tells whether the upstream lives; it never rejects. */
  constructor(
    private readonly probe: (
      response: Ended,
      timeoutMs: number,
    ) => Promise<Liveness>,
  ) {}

  /**
   * Call it as soon as the connection has ended in an orderly way: a process
   * that is back at the address under the same id counts as the one before.
   * Never rejects.
   */
  async check(response: Ended): Promise<Completeness> {
    const {upstreamId, isStream, isLeaving} = response;
    const timeoutMs = isStream ? STREAM_TIMEOUT_MS : PLAIN_TIMEOUT_MS;
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
    const found = await this.probe(response, timeoutMs);
    switch (found.kind) {
      case 'alive':
        return (found.upstreamId ?? upstreamId) === upstreamId
          ? 'complete'
          : 'broken_off';
      case 'silent':
        // A process that is too busy to answer in this time still lives.
        return isStream ? 'complete' : 'unknown';
      case 'refused':
        return isLeaving ? 'unknown' : 'broken_off';
      case 'unknown':
        return 'unknown';
    }
  }
}
