/**
 * Progress deadlines. A connection can stall for ever while new ones work, so a
 * missed deadline first drops the connection; the peer counts as failed only
 * after a fresh connection missed its deadline as well.
 */

/** A request sent to a peer. Times are on the monotonic clock. */
export interface Exchange {
  readonly sentAtMs: number;
  /** When the last byte of the answer arrived. */
  readonly lastByteAtMs?: number | undefined;
  /** Whether the connection was opened after an earlier missed deadline. */
  readonly isFreshConnection: boolean;
  readonly firstByteTimeoutMs: number;
  readonly pieceTimeoutMs: number;
}

/** The action to take for an exchange. */
export type ProgressVerdict =
  | {readonly kind: 'wait'; readonly untilMs: number}
  /** Drop the connection and retry on a fresh one. */
  | {readonly kind: 'drop_connection'}
  /** The fresh connection missed its deadline too: the peer has failed. */
  | {readonly kind: 'peer_failed'};

/** Checks an exchange against its first-byte or between-pieces deadline. */
export function progressVerdict(
  exchange: Exchange,
  nowMs: number,
): ProgressVerdict {
  const untilMs =
    exchange.lastByteAtMs === undefined
      ? exchange.sentAtMs + exchange.firstByteTimeoutMs
      : exchange.lastByteAtMs + exchange.pieceTimeoutMs;
  if (nowMs < untilMs) return {kind: 'wait', untilMs};
  return {
    kind: exchange.isFreshConnection ? 'peer_failed' : 'drop_connection',
  };
}
