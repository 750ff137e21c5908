/**
 * Authentication of messages between instances: an HMAC-SHA256 of the cluster
 * secret over sender, time, nonce, path and body. A message whose time differs
 * by more than the allowed skew, or whose nonce was already used, is rejected.
 */
import {
  createHash,
  createHmac,
  randomBytes,
  timingSafeEqual,
} from 'node:crypto';
import {wallNowMs} from '../clock/clock.js';
import {asId, type InstanceId} from '../types/ids.js';

/** The header that carries the credentials. */
export const AUTHENTICATION_HEADER = 'x-cyclamenfall-auth';

const MAX_SKEW_MS = 30_000;
const NONCE_BYTES = 12;
const SIGNATURE_PATTERN = /^[0-9a-f]{64}$/;

function sign(
  secret: string,
  sender: string,
  timeMs: string,
  nonce: string,
  path: string,
  body: Uint8Array,
): string {
  const bodyDigest = createHash('sha256').update(body).digest('hex');
  return createHmac('sha256', secret)
    .update([sender, timeMs, nonce, path, bodyDigest].join('\n'))
    .digest('hex');
}

/** Creates the value of the authentication header for one message. */
export function createCredentials(
  secret: string,
  sender: InstanceId,
  path: string,
  body: Uint8Array,
): string {
  const timeMs = String(wallNowMs());
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  const signature = sign(secret, sender, timeMs, nonce, path, body);
  return [sender, timeMs, nonce, signature].join(' ');
}

/** Verifies credentials and stores nonces until their messages expire. */
export class CredentialVerifier {
  private readonly seenAtMs = new Map<string, number>();

  constructor(private readonly secret: string) {}

  /**
   * Whether the header is well-formed and within the allowed skew. This avoids
   * reading the body of an unauthenticated caller; only `verify` authenticates.
   */
  isPlausible(header: string | undefined): boolean {
    const [sender = '', timeMs = '', nonce = '', signature = '', ...rest] =
      header?.split(' ') ?? [];
    const ageMs = Math.abs(wallNowMs() - Number(timeMs));
    return (
      sender !== '' &&
      nonce !== '' &&
      SIGNATURE_PATTERN.test(signature) &&
      rest.length === 0 &&
      ageMs <= MAX_SKEW_MS
    );
  }

  /** Returns the authenticated sender, or `undefined` to reject the message. */
  verify(
    header: string | undefined,
    path: string,
    body: Uint8Array,
  ): InstanceId | undefined {
    const parts = header?.split(' ') ?? [];
    if (parts.length !== 4) return undefined;
    const [sender = '', timeMs = '', nonce = '', signature = ''] = parts;
    const nowMs = wallNowMs();
    const ageMs = Math.abs(nowMs - Number(timeMs));
    if (!(ageMs <= MAX_SKEW_MS)) return undefined;
    const expected = sign(this.secret, sender, timeMs, nonce, path, body);
    if (!equalStrings(expected, signature)) return undefined;
    this.removeExpiredNonces(nowMs);
    if (this.seenAtMs.has(nonce)) return undefined;
    this.seenAtMs.set(nonce, nowMs);
    return asId<InstanceId>(sender);
  }

  // Map iteration follows insertion order, so the scan stops at the first
  // nonce that has not expired.
  private removeExpiredNonces(nowMs: number): void {
    for (const [nonce, seenAtMs] of this.seenAtMs) {
      if (nowMs - seenAtMs <= 2 * MAX_SKEW_MS) return;
      this.seenAtMs.delete(nonce);
    }
  }
}

function equalStrings(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return (
    leftBytes.length === rightBytes.length &&
    timingSafeEqual(leftBytes, rightBytes)
  );
}
