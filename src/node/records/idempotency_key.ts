/**
 * Idempotency keys: `<unix ms>-<8 to 64 characters of A-Z a-z 0-9 _ ->`. The
 * timestamp in the key decides whether the key is still within its retention.
 */
import {randomUUID} from 'node:crypto';
import {asId, type IdempotencyKey} from '../types/ids.js';
import {MAX_KEY_AHEAD_MS} from './constants.js';

/** The timestamp has no leading zero and at most 15 digits. */
export const IDEMPOTENCY_KEY_PATTERN =
  /^(0|[1-9]\d{0,14})-[A-Za-z0-9_-]{8,64}$/;

/** A key and its timestamp in Unix milliseconds. */
export interface ParsedKey {
  readonly key: IdempotencyKey;
  readonly keyTimeMs: number;
}

/** Parses a key sent by a caller; `undefined` if it is malformed. */
export function parseIdempotencyKey(text: string): ParsedKey | undefined {
  const match = IDEMPOTENCY_KEY_PATTERN.exec(text);
  if (match === null) return undefined;
  return {key: asId<IdempotencyKey>(text), keyTimeMs: Number(match[1])};
}

/** The timestamp of a well-formed key. */
export function keyTimeMs(key: IdempotencyKey): number {
  return Number.parseInt(key, 10);
}

/** Generates a key for a call without one. */
export function createIdempotencyKey(nowMs: number): IdempotencyKey {
  return asId<IdempotencyKey>(`${Math.floor(nowMs)}-${randomUUID()}`);
}

/** The timestamp at or before which keys are past the retention. */
export function retentionCutoffMs(nowMs: number, retentionMs: number): number {
  return nowMs - retentionMs;
}

/** Classifies a key timestamp by the retention limit and the current time. */
export function classifyKeyTime(
  timeMs: number,
  nowMs: number,
  expiredBeforeMs: number,
): 'valid' | 'expired' | 'future' {
  if (timeMs <= expiredBeforeMs) return 'expired';
  if (timeMs > nowMs + MAX_KEY_AHEAD_MS) return 'future';
  return 'valid';
}
