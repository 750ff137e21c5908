/** Which software version began the streams that callers may take up again. */
import type {AttemptId, ServiceId, SoftwareVersion} from '../types/ids.js';

/** What began a stream. */
export interface StreamOrigin {
  /** The caller's attempt that brought the first event. */
  readonly attemptId: AttemptId;
  readonly service: ServiceId;
  readonly softwareVersion: SoftwareVersion;
}

interface HeldOrigin {
  readonly origin: StreamOrigin;
  readonly notedAtMs: number;
}

/** Callers give up on a request long before this. */
const RETENTION_MS = 60_000;
/** Origins kept; the oldest ones are dropped first. */
const MAX_ORIGINS = 32_768;

/** Origins in memory, oldest first. */
export class OriginStore {
  private readonly held = new Map<AttemptId, HeldOrigin>();

  /** An attempt has one origin, so the first one stays. */
  add(origin: StreamOrigin, nowMs: number): void {
    this.dropExpired(nowMs);
    if (this.held.has(origin.attemptId)) return;
    this.held.set(origin.attemptId, {origin, notedAtMs: nowMs});
    const [oldest] = this.held.keys();
    if (this.held.size > MAX_ORIGINS && oldest !== undefined) {
      this.held.delete(oldest);
    }
  }

  find(attemptId: AttemptId, nowMs: number): StreamOrigin | undefined {
    this.dropExpired(nowMs);
    return this.held.get(attemptId)?.origin;
  }

  private dropExpired(nowMs: number): void {
    for (const [attemptId, {notedAtMs}] of this.held) {
      if (nowMs - notedAtMs < RETENTION_MS) return;
      this.held.delete(attemptId);
    }
  }
}
